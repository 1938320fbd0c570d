import type { Socket } from "node:net";
import type { AcceptedConnection } from "./accepted-connection.js";

interface Count {
    open: number;
    /** Monotonic time of the last change, in milliseconds. */
    changedAtMs: number;
}

/** Counts the open requests of connections. */
export class ExchangeCounts {
    private readonly counts = new WeakMap<Socket, Count>();

    /** Changes the number of open requests of a connection that is watched; others are not counted. */
    add(socket: Socket, change: number): void {
        const count = this.counts.get(socket);
        if (count !== undefined) {
            count.open += change;
            count.changedAtMs = performance.now();
        }
    }

    /** Starts counting for a connection without open requests. */
    watch(socket: Socket): AcceptedConnection {
        const count: Count = { open: 0, changedAtMs: performance.now() };
        this.counts.set(socket, count);
        return {
            get idleMs() {
                return count.open > 0 ? 0 : performance.now() - count.changedAtMs;
            },
        };
    }
}
