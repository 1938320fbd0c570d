import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";

/** Opens a TCP connection; throws where it is refused, times out or is aborted. */
export const connect = async (address: Address, timeoutMs: number, signal: AbortSignal): Promise<Socket> => {
    const socket = createConnection(address);
    try {
        await once(socket, "connect", { signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]) });
        return socket;
    }
    catch (err) {
        socket.destroy();
        throw err;
    }
};
