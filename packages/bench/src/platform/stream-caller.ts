import { request } from "undici";
import type { PlatformFleet, PlatformInstance } from "./platform-fleet.js";

/** A stream as far as its caller has received it. */
export interface ReceivedStream {
    readonly id: string;
    /** 0 where the connection broke before an answer. */
    readonly status: number;
    readonly lastEventId: number;
    /** Software versions that its events name, each once. */
    readonly versions: readonly string[];
    readonly isComplete: boolean;
    readonly retryAfterS: number | undefined;
    readonly ms: number;
}

/** A stream that is being received. */
export interface OpenStream {
    readonly id: string;
    /** Resolves when some events have arrived, or the stream has ended. */
    readonly begun: Promise<void>;
    readonly ended: Promise<ReceivedStream>;
}

const EVENT = /^id: (\d+)\ndata: \S+ (\S+)$/gm;

/** Number of events after which a stream counts as begun. */
const BEGUN_EVENTS = 3;

const PROMPT_TOKENS = 60;

/** Begins a stream, or resumes an earlier one of this caller. */
export const openStream = (
    fleet: PlatformFleet,
    instance: PlatformInstance,
    resumed?: Pick<ReceivedStream, "id" | "lastEventId">,
    extra: Record<string, string> = {},
): OpenStream => {
    const headers = fleet.createHeaders(PROMPT_TOKENS);
    const id = String(headers["attempt-id"]);
    const resuming = resumed === undefined
        ? {}
        : { "resumes": resumed.id, "last-event-id": String(resumed.lastEventId) };
    const parts = { "prompt-prefix": `a${id.slice(-1).charCodeAt(0)}:30,b${id.slice(-1).charCodeAt(0)}:30` };
    let recordBegun = (): void => undefined;
    const begun = new Promise<void>(resolve => {
        recordBegun = resolve;
    });
    const receive = async (): Promise<ReceivedStream> => {
        const startedAtMs = performance.now();
        let [text, status, isComplete] = ["", 0, false];
        let retryAfterS: number | undefined;
        try {
            const res = await request(`http://${instance.callers}/model/x`, {
                method: "POST",
                body: "question",
                headers: { ...headers, ...parts, ...resuming, ...extra },
                reset: true,
            });
            status = res.statusCode;
            retryAfterS = res.headers["retry-after"] === undefined ? undefined : Number(res.headers["retry-after"]);
            for await (const chunk of res.body as AsyncIterable<Buffer>) {
                text += chunk.toString();
                if ([...text.matchAll(EVENT)].length >= BEGUN_EVENTS) {
                    recordBegun();
                }
            }
            isComplete = true;
        }
        catch {
            // The stream was broken off; what has arrived counts.
        }
        recordBegun();
        const events = [...text.matchAll(EVENT)];
        const ms = performance.now() - startedAtMs;
        const lastEventId = Number(events.at(-1)?.[1] ?? resumed?.lastEventId ?? 0);
        const versions = [...new Set(events.map(event => event[2] ?? ""))];
        return { id, status, lastEventId, versions, isComplete, retryAfterS, ms };
    };
    return { id, begun, ended: receive() };
};
