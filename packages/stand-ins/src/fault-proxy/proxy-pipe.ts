import { once } from "node:events";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { type Direction, DROPPING_MODES, type FaultSwitch } from "./proxy-faults.js";

/** The two ends of one direction. */
export interface ProxyPipeOptions {
    readonly from: Socket;
    readonly to: Socket;
    readonly direction: Direction;
    readonly faults: FaultSwitch;
    /** Aborts when the connection ends. */
    readonly signal: AbortSignal;
    /** Whether a direction that lost bytes, or whose sender reset it, rejects instead of ending in order. */
    readonly passesResets: boolean;
}

/** Bytes in flight in one direction beyond which the sender is held back. */
const MAX_IN_FLIGHT_BYTES = 1_048_576;

/** Carries one direction of a connection, in order. */
export class ProxyPipe {
    private readonly opts: ProxyPipeOptions;
    private inFlightBytes = 0;
    /** After lost bytes the rest would make no sense to the receiver. */
    private broken = false;

    constructor(opts: ProxyPipeOptions) {
        this.opts = opts;
    }

    /** Carries bytes and the end until the connection is over. */
    async run(): Promise<void> {
        const { from, to, faults, direction, signal, passesResets } = this.opts;
        let tail = Promise.resolve();
        from.on("data", (chunk: Buffer) => {
            const dueMs = performance.now() + faults.current.delayMs;
            this.inFlightBytes += chunk.length;
            if (this.inFlightBytes > MAX_IN_FLIGHT_BYTES) {
                from.pause();
            }
            tail = tail.then(() => this.deliver(chunk, dueMs));
            tail.catch(() => undefined);
        });
        from.resume();
        await once(from, "end", { signal });
        // A reset that arrives with data is reported as an end; once both sides have ended, the address is gone as well.
        const wasReset = from.remoteAddress === undefined && !from.writableEnded;
        const dueMs = performance.now() + faults.current.delayMs;
        await tail;
        await this.untilDue(dueMs);
        await faults.untilNot(DROPPING_MODES[direction], signal);
        if (passesResets && (wasReset || this.broken)) {
            throw new Error("the direction has not ended in order");
        }
        to.end();
    }

    private async deliver(chunk: Buffer, dueMs: number): Promise<void> {
        const { from, to, faults, direction, signal } = this.opts;
        await this.untilDue(dueMs);
        this.broken ||= faults.drops(direction);
        if (!this.broken && !to.write(chunk)) {
            await once(to, "drain", { signal });
        }
        this.inFlightBytes -= chunk.length;
        if (this.inFlightBytes <= MAX_IN_FLIGHT_BYTES) {
            from.resume();
        }
    }

    private async untilDue(dueMs: number): Promise<void> {
        const { faults, signal } = this.opts;
        const waitMs = dueMs - performance.now();
        if (waitMs > 0) {
            await sleep(waitMs, undefined, { signal });
        }
        await faults.untilNot(["stall"], signal);
    }
}
