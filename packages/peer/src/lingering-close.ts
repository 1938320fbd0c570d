import type { Server } from "node:http";
import type { Duplex } from "node:stream";

/**
 * Time for which a closing connection is still read, in milliseconds. TCP sends a lost first packet again after a second.
 */
const LINGER_MS = 2_000;

/** Time for which a closing connection may take to send what is written, in milliseconds. */
const FLUSH_TIMEOUT_MS = 30_000;

/**
 * Closes the sending direction of a connection, and the connection once the other side has closed too or a time is over
 * after everything was sent. Closing both directions at once resets the connection if bytes are unread or still arrive,
 * and the other side may lose a response that it has not read yet.
 */
export const closeWithLinger = (
    socket: Duplex,
    lingerMs = LINGER_MS,
    flushTimeoutMs = FLUSH_TIMEOUT_MS,
): void => {
    const destroyAfter = (ms: number): NodeJS.Timeout => setTimeout(() => socket.destroy(), ms).unref();
    let timer: NodeJS.Timeout | undefined;
    const linger = (): void => {
        clearTimeout(timer);
        timer = destroyAfter(lingerMs);
    };
    socket.once("close", () => clearTimeout(timer));
    socket.end();
    socket.resume();
    if (socket.writableFinished) {
        linger();
        return;
    }
    timer = destroyAfter(flushTimeoutMs);
    socket.once("finish", linger);
};

/** Makes a server close its connections with {@link closeWithLinger} after their last response. */
export const lingerOnClose = (server: Server, lingerMs = LINGER_MS): void => {
    server.on("connection", socket => {
        // The server calls this method once a response with `connection: close` is written.
        socket.destroySoon = () => closeWithLinger(socket, lingerMs);
    });
};
