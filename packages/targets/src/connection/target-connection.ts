import type { Socket } from "node:net";
import { wasReset } from "./was-reset.js";

/** The current connection of a client that has one connection at a time. */
export class TargetConnection {
    private socket: Socket | undefined;
    private onReceive: (() => void) | undefined;
    private onEnd: (() => void) | undefined;
    private openedAtMs: number | undefined;

    /** Sets the connection that was opened last. */
    attach(socket: Socket): void {
        this.socket = socket;
        this.openedAtMs = performance.now();
        // Registered before the listener of the HTTP client, so it runs before new bytes are parsed.
        socket.on("readable", () => this.onReceive?.());
        socket.once("end", () => this.onEnd?.());
    }

    /** Monotonic time at which the current connection was open, in milliseconds; undefined before the first one. */
    get connectedAtMs(): number | undefined {
        return this.openedAtMs;
    }

    /** Number of bytes that were received and parsed. */
    get parsedBytes(): number {
        const { socket } = this;
        return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
    }

    /** Sets what is called when bytes arrive and before the end of the connection is handled; undefined stops it. */
    watch(onReceive: (() => void) | undefined, onEnd?: () => void): void {
        this.onReceive = onReceive;
        this.onEnd = onEnd;
    }

    /** Whether the connection ended by a reset. */
    get wasReset(): boolean {
        return this.socket === undefined || wasReset(this.socket);
    }
}
