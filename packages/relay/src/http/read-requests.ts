import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of callers' connections that were read whole and whose responses are not sent completely. */
export class ReadRequests {
    private readonly open = new WeakMap<Socket, Set<ServerResponse>>();

    constructor(
        /** Called when the last open request of a connection has its whole response. */
        private readonly onLastSent: (socket: Socket) => void,
    ) {}

    /** Adds a request until its response is closed. */
    add(socket: Socket, res: ServerResponse): void {
        const open = this.open.get(socket) ?? new Set();
        this.open.set(socket, open.add(res));
        res.once("close", () => {
            open.delete(res);
            if (open.size === 0) {
                this.onLastSent(socket);
            }
        });
    }

    /** Whether a request of the connection is open. */
    has(socket: Socket): boolean {
        return (this.open.get(socket)?.size ?? 0) > 0;
    }
}
