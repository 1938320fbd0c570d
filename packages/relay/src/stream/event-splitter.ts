import { ByteCollector } from "@ospreyreel/peer";

const LF = 0x0a;
const CR = 0x0d;

/** Complete events from a stream of server-sent events. */
export interface SplitEvents {
    /** Bytes of the complete events and comments, blank lines included; empty where none is complete. */
    readonly bytes: Buffer;
    /** Number of events, without comments. */
    readonly count: number;
    /** Ids in order; an event without a numeric id is left out. */
    readonly ids: readonly number[];
    /** Whether the first event has an id; false where none is complete. */
    readonly startsWithId: boolean;
}

const NO_EVENTS: SplitEvents = { bytes: Buffer.alloc(0), count: 0, ids: [], startsWithId: false };

/** Index after the blank line that ends an event, or -1. */
const findEventEnd = (bytes: Buffer, from: number): number => {
    for (let at = bytes.indexOf(LF, from); at !== -1; at = bytes.indexOf(LF, at + 1)) {
        const next = bytes[at + 1] === CR ? at + 2 : at + 1;
        if (bytes[next] === LF) {
            return next + 1;
        }
    }
    return -1;
};

/** Whether a block has a field; one of comments and blank lines only keeps a connection alive. */
const hasField = (block: Buffer): boolean => /^[^:\r\n]/m.test(block.toString("latin1"));

const readId = (event: Buffer): number | undefined => {
    const match = /^id: ?(\d+)\r?$/m.exec(event.toString("latin1"));
    return match === null ? undefined : Number(match[1]);
};

/** Maximum size of one event, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Bytes before a chunk that may be the beginning of a blank line which the chunk completes. */
const OVERLAP_BYTES = 2;

/** Splits a byte stream at the ends of events, so that an incomplete event is never relayed. */
export class EventSplitter {
    /** Bytes of an incomplete event. */
    private readonly remainder = new ByteCollector();

    /** Number of buffered bytes of an incomplete event. */
    get pendingBytes(): number {
        return this.remainder.size;
    }

    /** Adds bytes and returns the events that are now complete; throws if an event is too large. */
    push(chunk: Buffer): SplitEvents {
        const tail = this.remainder.getLast(OVERLAP_BYTES);
        if (findEventEnd(Buffer.concat([tail, chunk]), 0) === -1) {
            this.keep(chunk);
            return NO_EVENTS;
        }
        // Earlier bytes contain no end of an event.
        const from = this.remainder.size - tail.length;
        this.remainder.add(chunk);
        const bytes = this.remainder.take();
        const ids: number[] = [];
        let start = 0;
        let count = 0;
        let startsWithId = false;
        for (let end = findEventEnd(bytes, from); end !== -1; end = findEventEnd(bytes, end)) {
            const id = readId(bytes.subarray(start, end));
            if (id !== undefined) {
                ids.push(id);
                startsWithId ||= count === 0;
            }
            count += hasField(bytes.subarray(start, end)) ? 1 : 0;
            start = end;
        }
        this.keep(bytes.subarray(start));
        return { bytes: bytes.subarray(0, start), count, ids, startsWithId };
    }

    /** Ends the stream and returns its last bytes; undefined if it ends within an event. */
    finish(): Buffer | undefined {
        const rest = this.remainder.take();
        return rest.every(byte => byte === LF || byte === CR) ? rest : undefined;
    }

    private keep(bytes: Buffer): void {
        this.remainder.add(bytes);
        if (this.remainder.size > MAX_EVENT_BYTES) {
            throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
        }
    }
}
