import type { ServerResponse } from "node:http";

/** Writes are small, so that a slow caller's progress is visible while it reads a large chunk. */
const MAX_WRITE_BYTES = 65_536;

const waitForDrain = (res: ServerResponse): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            res.off("drain", finish).off("close", finish);
            resolve();
        };
        // The socket of a disconnected caller never drains.
        res.on("drain", finish).on("close", finish);
    });

/** Writes bytes of a response no faster than the caller reads them. */
export const writeChunk = async (res: ServerResponse, chunk: Buffer): Promise<void> => {
    for (let start = 0; start < chunk.length && !res.destroyed; start += MAX_WRITE_BYTES) {
        if (!res.write(chunk.subarray(start, start + MAX_WRITE_BYTES)) && !res.destroyed) {
            await waitForDrain(res);
        }
    }
};
