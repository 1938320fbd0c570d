import { OspreyError } from "@ospreyreel/errors";
import { createParser } from "eventsource-parser";
import { END_MARK, type TargetEvent } from "./target-calls.js";

const MAX_EVENT_CHARS = 1_048_576;

const toEventId = (id: string | undefined, expected: number): number => id === undefined ? expected : Number(id);

const checkPosition = (event: TargetEvent, expected: number): void => {
    if (event.id !== expected) {
        throw new OspreyError(`event ${event.id} was received instead of event ${expected}`, {
            result: "targetFailed",
        });
    }
};

/**
 * Reads server-sent events up to the end mark, which is the last one yielded.
 * Throws `targetFailed` for a gap and for an end without the mark.
 */
export const readEvents = async function*(
    body: AsyncIterable<Uint8Array>,
    from: number,
): AsyncGenerator<TargetEvent, void, undefined> {
    const parsed: { id: string | undefined; data: string; }[] = [];
    const parser = createParser({
        maxBufferSize: MAX_EVENT_CHARS,
        onEvent: ({ id, data }) => parsed.push({ id, data }),
        onError: err => {
            throw new OspreyError("malformed event", { result: "targetFailed", cause: err });
        },
    });
    const decoder = new TextDecoder();
    let expected = from;
    for await (const bytes of body) {
        parser.feed(decoder.decode(bytes, { stream: true }));
        for (const { id, data } of parsed.splice(0)) {
            const event: TargetEvent = { id: toEventId(id, expected), data };
            checkPosition(event, expected);
            expected += 1;
            yield event;
            if (data === END_MARK) {
                return;
            }
        }
    }
    throw new OspreyError(`the stream ended without its end mark after event ${expected - 1}`, {
        result: "targetFailed",
    });
};

/** Skips the first event after comparing it with the last one received; throws `targetFailed` where they differ. */
export const skipLastSeen = async function*(
    events: AsyncIterable<TargetEvent>,
    lastSeen: TargetEvent,
): AsyncGenerator<TargetEvent, void, undefined> {
    let checked = false;
    for await (const event of events) {
        if (checked) {
            yield event;
        }
        else if (event.id !== lastSeen.id || event.data !== lastSeen.data) {
            throw new OspreyError("the resumed stream differs from the original stream", { result: "targetFailed" });
        }
        checked = true;
    }
};
