import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";
import { IoTimeout } from "./io-timeout.js";

/** Opens a TCP connection; throws where it is refused, times out or is aborted. */
export const connect = async (address: Address, timeoutMs: number, signal: AbortSignal): Promise<Socket> => {
    const socket = createConnection(address);
    const expired = new AbortController();
    // An open connection that a busy event loop has not seen yet is not late.
    const timeout = new IoTimeout(() => expired.abort(), timeoutMs);
    try {
        await once(socket, "connect", { signal: AbortSignal.any([signal, expired.signal]) });
        return socket;
    }
    catch (err) {
        socket.destroy();
        throw err;
    }
    finally {
        timeout.cancel();
    }
};
