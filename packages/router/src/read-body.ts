import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import type { IncomingMessage } from "node:http";

/** Limits on a request's body. */
export interface BodyLimits {
    readonly maxBodyBytes: number;
    readonly bodyTimeoutMs: number;
}

/** Maximum number of bytes of a rejected request that are still read. */
const MAX_DISCARDED_BYTES = 16 * 1_048_576;

const createBodyTooLargeError = (limits: BodyLimits): OspreyError =>
    new OspreyError(`the body exceeds ${limits.maxBodyBytes} bytes`, { result: "tooLarge" });

const createIncompleteBodyError = (cause: unknown): OspreyError =>
    new OspreyError("the body is incomplete", { result: "badRequest", cause });

const collectBody = (req: IncomingMessage, limits: BodyLimits, hold: (bytes: number) => void): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const timer = setTimeout(
            () => fail(new OspreyError("the body arrived too slowly", { result: "timeoutReading" })),
            limits.bodyTimeoutMs,
        );
        const stop = (): void => {
            clearTimeout(timer);
            req.off("data", onData).off("end", onEnd).off("error", failIncomplete).off("close", failIncomplete);
        };
        const fail = (err: OspreyError): void => {
            stop();
            req.pause();
            reject(err);
        };
        const onData = (chunk: Buffer): void => {
            size += chunk.length;
            chunks.push(chunk);
            if (size > limits.maxBodyBytes) {
                fail(createBodyTooLargeError(limits));
                return;
            }
            try {
                hold(chunk.length);
            }
            catch (err) {
                fail(toOspreyError(err));
            }
        };
        const failIncomplete = (cause?: unknown): void => fail(createIncompleteBodyError(cause));
        const onEnd = (): void => {
            stop();
            resolve(Buffer.concat(chunks));
        };
        req.on("data", onData).on("end", onEnd).on("error", failIncomplete).on("close", failIncomplete);
    });

/**
 * Reads a complete body. Throws `tooLarge`, `request_timeout` or `badRequest`; never holds more than the limit. The
 * request is not destroyed on an error, since that would destroy the connection before the error response is written.
 * `hold` is called with the bytes of each chunk and may throw.
 */
export const readBody = async (
    req: IncomingMessage,
    limits: BodyLimits,
    hold: (bytes: number) => void = () => undefined,
): Promise<Buffer> => {
    const declared = Number(req.headers["content-length"] ?? 0);
    if (declared > limits.maxBodyBytes) {
        throw createBodyTooLargeError(limits);
    }
    if (req.destroyed) {
        throw createIncompleteBodyError(undefined);
    }
    return await collectBody(req, limits, hold);
};

/**
 * Reads and discards the remainder of a rejected request, up to a limit. The caller may read its response only after it
 * has sent the whole request.
 */
export const discardBody = (req: IncomingMessage): void => {
    let remainingBytes = MAX_DISCARDED_BYTES;
    req.on("data", (chunk: Buffer) => {
        remainingBytes -= chunk.length;
        if (remainingBytes < 0) {
            req.pause();
        }
    });
    req.resume();
};
