import { closeWithLinger } from "@ospreyreel/peer";
import type { Socket } from "node:net";

/** Options of {@link IdleConnections}. */
export interface IdleConnectionsOptions {
    /** Serves a connection that has brought bytes. */
    readonly serve: (socket: Socket) => void;
    /** Time after which a connection without a request is closed, in milliseconds. */
    readonly getIdleTimeoutMs: () => number;
}

/**
 * Kept connections without a request that came back from a peer. The server would close them after the time for a head, like new ones, so they
 * reach it with their next request.
 */
export class IdleConnections {
    private readonly sockets = new Set<Socket>();

    constructor(private readonly opts: IdleConnectionsOptions) {}

    /** Adds a connection until it brings bytes, ends, or was idle for too long. */
    add(socket: Socket): void {
        this.sockets.add(socket);
        const remove = (): void => {
            clearTimeout(timer);
            this.sockets.delete(socket);
            socket.off("readable", onReadable).off("close", remove);
        };
        const close = (): void => {
            remove();
            closeWithLinger(socket);
        };
        const onReadable = (): void => {
            if (socket.readableLength === 0) {
                // The caller has closed its direction.
                close();
                return;
            }
            remove();
            socket.off("error", ignoreError);
            this.opts.serve(socket);
        };
        const timer = setTimeout(close, this.opts.getIdleTimeoutMs()).unref();
        socket.on("error", ignoreError).once("close", remove).once("readable", onReadable);
    }

    /** Closes all connections. */
    closeAll(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

const ignoreError = (): void => undefined;
