import type { Socket } from "node:net";

/** Time after which a connection without a request counts as idle, in milliseconds. */
const FIRST_REQUEST_WITHIN_MS = 1_000;

/** Connections that were opened a moment ago and have brought no request yet. */
export class NewConnections {
    /** Monotonic times at which the connections were opened, in milliseconds; the oldest one first. */
    private readonly openedAtMs = new Map<Socket, number>();

    /** Adds a connection that has just been opened, until it closes. */
    add(socket: Socket): void {
        this.openedAtMs.set(socket, performance.now());
        socket.once("close", () => this.remove(socket));
    }

    /** Removes a connection that has brought a request. */
    remove(socket: Socket): void {
        this.openedAtMs.delete(socket);
    }

    /** Number of connections whose first request may still arrive. */
    count(): number {
        const sinceMs = performance.now() - FIRST_REQUEST_WITHIN_MS;
        return [...this.openedAtMs.values()].filter(openedAtMs => openedAtMs > sinceMs).length;
    }
}
