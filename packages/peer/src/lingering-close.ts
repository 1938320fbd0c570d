import type { Server } from "node:http";
import type { Duplex } from "node:stream";

/**
 * Time for which a closing connection is still read, in milliseconds. TCP sends a lost first packet again after a second.
 */
const LINGER_MS = 2_000;

/**
 * Closes the sending direction of a connection, and the connection once the other side has closed too or a time is over.
 * Closing both directions at once resets the connection if bytes are unread or still arrive, and the other side may lose
 * a response that it has not read yet.
 */
export const closeWithLinger = (socket: Duplex, lingerMs = LINGER_MS): void => {
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), lingerMs).unref();
    socket.once("close", () => clearTimeout(timer));
};

/** Makes a server close its connections with {@link closeWithLinger} after their last response. */
export const lingerOnClose = (server: Server, lingerMs = LINGER_MS): void => {
    server.on("connection", socket => {
        // The server calls this method once a response with `connection: close` is written.
        socket.destroySoon = () => closeWithLinger(socket, lingerMs);
    });
};
