import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../faults/random-source.js";
import { type AddressAnswer, type PlatformFleet, type PlatformInstance, toAddress } from "../platform-fleet.js";
import { drawResponseForm } from "./draw-response-form.js";
import type { DirectoryAnswer, PlatformCall } from "./platform-call.js";
import { getEvents, sendCall } from "./send-call.js";

/** Options of a {@link PlatformCaller}. */
export interface PlatformCallerOptions {
    readonly fleet: PlatformFleet;
    readonly seed: number;
    /** Instance that it uses on one connection, whatever addresses there are; none by default. */
    readonly staysAt?: PlatformInstance;
    /** Whether it also uses HTTP/1.0 and has targets end their answers in all ways; false by default. */
    readonly variesEnds?: boolean;
    readonly onCall: (call: PlatformCall) => void;
    readonly onDirectoryAnswer: (answer: DirectoryAnswer) => void;
}

/** Longest pause between two requests, in milliseconds. */
const LONGEST_PAUSE_MS = 250;

const LONGEST_PROMPT = 600;

/** Instances that are asked for addresses before a caller waits. */
const DIRECTORY_TRIES = 3;
const DIRECTORY_RETRY_MS = 100;
const MS_PER_S = 1_000;

/** Answer of a target that takes many reads, in bytes; larger ones would slow the rig itself. */
const LARGE_BYTES = 1_000_000;

/** One caller: asks for addresses, keeps them for a time and sends one request after the other. */
export class PlatformCaller {
    private readonly random: RandomSource;
    private readonly agent: Agent;
    private readonly keepsConnections: boolean;
    /** Times to live for which addresses are used; without end, they are kept until they fail. */
    private readonly lifetimes: number;
    private addresses: readonly string[] = [];
    private addressesEndAtMs = 0;
    private last: string | undefined;
    /** Call whose stream broke off after its first events. */
    private broken: PlatformCall | undefined;

    constructor(private readonly opts: PlatformCallerOptions) {
        this.random = new RandomSource(opts.seed);
        this.keepsConnections = opts.staysAt !== undefined || this.random.pick([true, true, true, false]);
        this.agent = new Agent({ keepAlive: this.keepsConnections, maxSockets: 1 });
        this.lifetimes = this.random.pick([1, 3, Infinity]);
    }

    /** Sends requests until the signal aborts. */
    async run(ended: AbortSignal): Promise<void> {
        while (!ended.aborted) {
            const address = await this.pickAddress();
            if (address === undefined) {
                await sleep(DIRECTORY_RETRY_MS);
                continue;
            }
            const call = await this.send(address, this.broken);
            this.opts.onCall(call);
            // A stream that was resumed is not resumed again, so that its first attempt is the one that began it.
            this.broken = call.end === "cut" && call.kind === "model" && call.resumed === undefined
                    && getEvents(call.body).length > 0
                ? call
                : undefined;
            if (call.end === "unreachable" || call.end === "cut" || call.end === "overdue") {
                this.addresses = this.addresses.filter(other => other !== address);
            }
            await sleep(this.random.int(0, LONGEST_PAUSE_MS));
        }
        this.agent.destroy();
    }

    /** Stays with the address of its open connection while that is among those in use. */
    private async pickAddress(): Promise<string | undefined> {
        if (this.opts.staysAt !== undefined) {
            return this.opts.staysAt.callers;
        }
        if (this.addresses.length === 0 || performance.now() > this.addressesEndAtMs) {
            await this.askDirectory();
        }
        if (this.addresses.length === 0) {
            return undefined;
        }
        if (!this.keepsConnections || this.last === undefined || !this.addresses.includes(this.last)) {
            this.last = this.random.pick(this.addresses);
        }
        return this.last;
    }

    private async askDirectory(): Promise<void> {
        const { fleet, onDirectoryAnswer } = this.opts;
        for (let at = 0; at < DIRECTORY_TRIES; at++) {
            const instance = this.random.pick(fleet.instances);
            const askedAtMs = performance.now();
            const answer: AddressAnswer | undefined = await fleet.resolveWithTtl(instance);
            if (answer !== undefined) {
                const atMs = performance.now();
                onDirectoryAnswer({ instance: instance.name, askedAtMs, atMs, addresses: answer.addresses });
                this.addresses = answer.addresses;
                this.addressesEndAtMs = atMs + answer.ttlS * MS_PER_S * this.lifetimes;
                return;
            }
        }
    }

    private async send(address: string, resumed: PlatformCall | undefined): Promise<PlatformCall> {
        const { fleet, variesEnds = false } = this.opts;
        const { random, agent } = this;
        const drawn = random.pick(["plain", "once", "model", "model", "fixed", "new"] as const);
        const kind = resumed === undefined ? drawn : "model";
        const proxy = fleet.getCallerProxy(address);
        const isLarge = (kind === "plain" || kind === "once") && random.int(1, 20) === 1;
        return await sendCall({
            kind,
            id: fleet.nextId(),
            promptTokens: random.int(1, LONGEST_PROMPT),
            paddingBytes: isLarge ? LARGE_BYTES : 0,
            instance: getInstance(fleet, address)?.name ?? "",
            address: proxy?.address ?? toAddress(address),
            wasAccepted: port => proxy?.hasReachedTarget(port) ?? true,
            agent,
            stepMs: kind === "model" || kind === "fixed" ? random.pick([5, 20, 150, 300, 900]) : random.pick([2, 50]),
            bodyPauseMs: random.pick([0, 0, 0, 0, 50, 300]),
            readPauseMs: random.pick([0, 0, 0, 0, 1_000]),
            resumed,
            leavesAfterMs: random.int(1, 12) === 1 ? random.int(1, 2_000) : undefined,
            ...(variesEnds ? drawResponseForm(random) : {}),
        });
    }
}

const getInstance = (fleet: PlatformFleet, address: string): PlatformInstance | undefined =>
    fleet.instances.find(instance => instance.callers === address);
