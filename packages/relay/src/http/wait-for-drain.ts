import type { ServerResponse } from "node:http";

/** Waits until a response can take more bytes, its connection has closed, or the signal aborts. */
export const waitForDrain = (res: ServerResponse, signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            res.off("drain", finish).off("close", finish);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        // The connection of a caller that has disconnected never drains.
        res.on("drain", finish).on("close", finish);
        signal.addEventListener("abort", finish);
    });
