import type { ServerResponse } from "node:http";
import { sendJson } from "../http-json/json-server.js";
import { createWholeAnswer, END_MARK, getEventData } from "./completion-events.js";
import type { EngineStream } from "./engine-stream.js";

/** How an answer is written. */
export interface AnswerOptions {
    /** First event to send, from 1. */
    readonly from?: number;
    /** Cuts the connection after this many events. */
    readonly cutAfter?: number | undefined;
    /** Value of X-Request-Id; the stream's id by default. */
    readonly echoedId?: string;
}

const createCloseSignal = (res: ServerResponse): AbortSignal => {
    const closing = new AbortController();
    res.once("close", () => closing.abort());
    return closing.signal;
};

/** Resolves once the event is handed to the system, so that a cut right after it does not take it back. */
const writeEvent = (res: ServerResponse, n: number, data: string): Promise<void> =>
    new Promise(resolve => {
        res.write(`id: ${n}\ndata: ${data}\n\n`, () => resolve());
    });

const writeEvents = async (res: ServerResponse, stream: EngineStream, opts: AnswerOptions): Promise<void> => {
    const { from = 1, cutAfter = Number.POSITIVE_INFINITY } = opts;
    const signal = createCloseSignal(res);
    for (let n = from; !res.destroyed;) {
        const data = getEventData(stream, n);
        if (n - from >= cutAfter || (data === undefined && stream.ended)) {
            // A cancelled run has no end mark, so a cut connection tells the reader that the answer is not whole.
            res.destroy();
        }
        else if (data === undefined) {
            await stream.waitForChange(signal);
        }
        else if (data === END_MARK) {
            await writeEvent(res, n, data);
            res.end();
            return;
        }
        else {
            await writeEvent(res, n, data);
            n += 1;
        }
    }
};

const ignoreAbort = (err: unknown): void => {
    if (!(err instanceof Error && err.name === "AbortError")) {
        throw err;
    }
};

/** Streams a run's events from the first one asked for to the end mark. */
export const streamAnswer = async (
    res: ServerResponse,
    stream: EngineStream,
    opts: AnswerOptions = {},
): Promise<void> => {
    const echoedId = opts.echoedId ?? stream.id;
    res.writeHead(200, { "content-type": "text/event-stream", "x-request-id": echoedId });
    res.flushHeaders();
    await writeEvents(res, stream, opts).catch(ignoreAbort);
};

/** Waits for a run's end and answers in one body; cuts the connection for a cancelled run. */
export const sendWholeAnswer = async (
    res: ServerResponse,
    stream: EngineStream,
    opts: AnswerOptions = {},
): Promise<void> => {
    await stream.waitForEnd(createCloseSignal(res)).catch(ignoreAbort);
    if (stream.state === "done" && opts.cutAfter === undefined) {
        sendJson(res, 200, createWholeAnswer(stream), { "x-request-id": opts.echoedId ?? stream.id });
    }
    else {
        res.destroy();
    }
};
