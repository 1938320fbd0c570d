import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Orders the requests of each connection, so that none is served on a connection that an earlier response closes. */
export class PipelineOrder {
    private readonly newest = new WeakMap<Socket, Promise<void>>();
    private readonly last = new WeakMap<Socket, ServerResponse>();

    /** Waits for the responses to earlier requests; returns whether the connection still accepts a response. */
    async waitForTurn(socket: Socket, res: ServerResponse): Promise<boolean> {
        const previous = this.newest.get(socket);
        this.newest.set(socket, waitForClose(socket, res));
        this.last.set(socket, res);
        await previous;
        return socket.writable;
    }

    /** Response to the newest request of the connection; undefined before the first one. */
    getLast(socket: Socket): ServerResponse | undefined {
        return this.last.get(socket);
    }

    /** Whether no later request has arrived on the connection. */
    isLast(socket: Socket, res: ServerResponse): boolean {
        return this.last.get(socket) === res;
    }
}

/** Resolves when the response has ended; the response of a request that still waits does not report a closed connection. */
const waitForClose = (socket: Socket, res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            socket.off("close", finish);
            res.off("close", finish);
            resolve();
        };
        socket.once("close", finish);
        res.once("close", finish);
    });
