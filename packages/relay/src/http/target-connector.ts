import { connect as connectTcp, type Socket } from "node:net";
import type { buildConnector } from "undici";

/** Longest time to connect, in milliseconds: some round trips within a region; a lost first packet is sent again only after a second. */
const CONNECT_TIMEOUT_MS = 400;

/** Silence after which the system probes an idle connection, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Code under which a reset is passed on. */
const CUT_CODE = "ERR_CONNECTION_CUT";

/**
 * Renames resets before the HTTP client sees them. It takes a reset for the end of an answer that has no length, which
 * would make a cut answer look whole.
 */
const renameReset = (err: NodeJS.ErrnoException): void => {
    if (err.code === "ECONNRESET") {
        err.code = CUT_CODE;
    }
};

/** Opens connections to targets with a short time limit. */
export const createTargetConnector = (timeoutMs = CONNECT_TIMEOUT_MS): buildConnector.connector => (opts, callback) => {
    const socket: Socket = connectTcp({ host: opts.hostname, port: Number(opts.port) });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    // Registered first, so that it runs before the client's own listener.
    socket.on("error", renameReset);
    const timer = setTimeout(() => socket.destroy(new Error("no connection within the time limit")), timeoutMs);
    let settled = false;
    const settle = (err: Error | null): void => {
        clearTimeout(timer);
        if (settled) {
            return;
        }
        settled = true;
        if (err === null) {
            callback(null, socket);
        }
        else {
            callback(err, null);
        }
    };
    socket.once("connect", () => settle(null));
    socket.once("error", err => settle(err));
    socket.once("close", () => settle(new Error("the connection closed before it was open")));
};
