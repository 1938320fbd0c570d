import type { Socket } from "node:net";

/** The current connection of a client that has one connection at a time. */
export class TargetConnection {
    private socket: Socket | undefined;

    /** Sets the connection that was opened last. */
    attach(socket: Socket): void {
        this.socket = socket;
    }

    /**
     * Whether the connection ended by a reset. If the reset arrives together with data, Node.js reports an ordinary end;
     * but a connection that was reset has no remote address any more. The address must not be read before, since
     * Node.js would cache it.
     */
    get wasReset(): boolean {
        return this.socket?.remoteAddress === undefined;
    }
}
