import type { Address } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { probeConnection, type ProbeOutcome } from "./probe-connection.js";

/** Whether a process was found running; `unknown` where nothing answered in time. */
export type ProcessState = "running" | "gone" | "unknown";

/** Options of {@link ProcessCheck}. */
export interface ProcessCheckOptions {
    /** Opens a connection; {@link probeConnection} by default. */
    readonly probe?: (address: Address, timeoutMs: number, holdMs: number) => Promise<ProbeOutcome>;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** Timeout of an attempt, in milliseconds: some round trips within a region. A lost first packet is sent again only after a second. */
const ATTEMPT_MS = 250;

/** Time between two attempts, in milliseconds: a process that ends has closed its listener by then. */
const PAUSE_MS = 20;

const MAX_ATTEMPTS = 6;

/** Connections that a running process may drop, as one with too many of them does; the kernel of one that ends refuses the next. */
const MAX_DROPPED = 3;

interface SharedCheck {
    readonly state: Promise<ProcessState>;
    /** A check that begins when this one has ended, for those who must not use its result. */
    next: Promise<ProcessState> | undefined;
}

/** Finds out whether the process at an address is running, by connections to it. */
export class ProcessCheck {
    private readonly running = new Map<string, SharedCheck>();
    private readonly probe: NonNullable<ProcessCheckOptions["probe"]>;
    private readonly wait: NonNullable<ProcessCheckOptions["wait"]>;

    constructor(opts: ProcessCheckOptions = {}) {
        this.probe = opts.probe ?? probeConnection;
        this.wait = opts.wait ?? (ms => sleep(ms));
    }

    /**
     * Resolves whether the process runs at a moment after the call; does not throw. The kernel closes the listener of a process that ends
     * after its connections, and resets what was connected meanwhile, so that a connection must stay open for `holdMs`. Checks of one address
     * are shared, but one that began earlier says nothing of a process that it found running.
     */
    check(address: Address, holdMs: number): Promise<ProcessState> {
        const key = `${address.host}:${address.port} ${holdMs}`;
        const shared = this.running.get(key);
        if (shared === undefined) {
            return this.start(key, address, holdMs);
        }
        shared.next ??= shared.state.then(state =>
            state === "running" ? this.running.get(key)?.state ?? this.start(key, address, holdMs) : state
        );
        return shared.next;
    }

    private start(key: string, address: Address, holdMs: number): Promise<ProcessState> {
        const state = this.attempt(address, holdMs).finally(() => this.running.delete(key));
        this.running.set(key, { state, next: undefined });
        return state;
    }

    private async attempt(address: Address, holdMs: number): Promise<ProcessState> {
        let dropped = 0;
        for (let attempts = 1; attempts <= MAX_ATTEMPTS; attempts++) {
            const outcome = await this.probe(address, ATTEMPT_MS, holdMs);
            if (outcome === "open" || outcome === "refused") {
                return outcome === "open" ? "running" : "gone";
            }
            dropped += outcome === "dropped" ? 1 : 0;
            if (dropped === MAX_DROPPED) {
                return "running";
            }
            await this.wait(PAUSE_MS);
        }
        return "unknown";
    }
}
