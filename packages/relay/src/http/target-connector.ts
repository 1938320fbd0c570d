import { IoTimeout } from "@ospreyreel/peer";
import { replaceResetCode } from "@ospreyreel/targets";
import { connect as connectTcp, type Socket } from "node:net";
import type { buildConnector } from "undici";

/**
 * Connect timeout, in milliseconds: some round trips within a region. A lost first packet is sent again only after a
 * second.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which the operating system probes a connection, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Options of {@link createTargetConnector}. */
export interface TargetConnectorOptions {
    /** Connect timeout, in milliseconds. */
    readonly timeoutMs?: number;
    /** Called with each connection once it is open. */
    readonly onOpen?: (socket: Socket) => void;
}

/** Creates a connector that opens connections to targets with a short timeout. */
export const createTargetConnector = (
    { timeoutMs = CONNECT_TIMEOUT_MS, onOpen }: TargetConnectorOptions = {},
): buildConnector.connector =>
(opts, callback) => {
    const socket: Socket = connectTcp({ host: opts.hostname, port: Number(opts.port) });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    // Registered first, so that it runs before the client's own listener.
    socket.on("error", replaceResetCode);
    const timeout = new IoTimeout(() => socket.destroy(new Error("connect timeout")), timeoutMs);
    let settled = false;
    const settle = (err: Error | null): void => {
        timeout.cancel();
        if (settled) {
            return;
        }
        settled = true;
        if (err === null) {
            onOpen?.(socket);
            callback(null, socket);
        }
        else {
            callback(err, null);
        }
    };
    socket.once("connect", () => settle(null));
    socket.once("error", err => settle(err));
    socket.once("close", () => settle(new Error("the connection was closed before it was open")));
};
