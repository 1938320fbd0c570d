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

/** Time after which a further attempt begins beside those without an answer, in milliseconds: a lost first packet is sent again only after a second. */
const ATTEMPT_MS = 250;

/**
 * Time for which a connection must stay open, in milliseconds. The kernel closes the listener of a process that ends after its connections, and
 * resets what was connected meanwhile.
 */
const HOLD_MS = 40;

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
     * Resolves whether the process runs at a moment after the call; does not throw. Checks of one address are shared, but one that began
     * earlier counts only where it found that the process is gone.
     */
    check(address: Address): Promise<ProcessState> {
        const key = `${address.host}:${address.port}`;
        const shared = this.running.get(key);
        if (shared === undefined) {
            return this.start(key, address);
        }
        shared.next ??= shared.state.then(state =>
            state === "gone" ? state : this.running.get(key)?.state ?? this.start(key, address)
        );
        return shared.next;
    }

    private start(key: string, address: Address): Promise<ProcessState> {
        const state = this.attempt(address).finally(() => this.running.delete(key));
        this.running.set(key, { state, next: undefined });
        return state;
    }

    /** Opens connections until one of them decides; earlier ones still count, as their answers may take longer. */
    private async attempt(address: Address): Promise<ProcessState> {
        let state: ProcessState = "unknown";
        let dropped = 0;
        let decide = (): void => undefined;
        const decided = new Promise<void>(resolve => decide = resolve);
        const tryOnce = async (timeoutMs: number): Promise<void> => {
            const outcome = await this.probe(address, timeoutMs, HOLD_MS);
            dropped += outcome === "dropped" ? 1 : 0;
            const isRunning = outcome === "open" || dropped === MAX_DROPPED;
            if (state === "unknown" && (isRunning || outcome === "refused")) {
                state = isRunning ? "running" : "gone";
                decide();
            }
        };
        for (let left = MAX_ATTEMPTS; left > 0 && state === "unknown"; left--) {
            await Promise.race([decided, tryOnce(left * ATTEMPT_MS), sleep(ATTEMPT_MS, undefined, { ref: false })]);
            if (state === "unknown") {
                await Promise.race([decided, this.wait(PAUSE_MS)]);
            }
        }
        return state;
    }
}
