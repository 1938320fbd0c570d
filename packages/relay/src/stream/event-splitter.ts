const LF = 0x0a;
const CR = 0x0d;

/** Complete events from a stream of server-sent events. */
export interface SplitEvents {
    /** Bytes of the complete events, blank lines included; empty where none is complete. */
    readonly bytes: Buffer;
    /** Number of events. */
    readonly count: number;
    /** Ids in order; an event without a numeric id is left out. */
    readonly ids: readonly number[];
}

const NO_EVENTS: SplitEvents = { bytes: Buffer.alloc(0), count: 0, ids: [] };

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

const readId = (event: Buffer): number | undefined => {
    const match = /^id: ?(\d+)\r?$/m.exec(event.toString("latin1"));
    return match === null ? undefined : Number(match[1]);
};

/** Splits a byte stream at the ends of events, so that an incomplete event is never relayed. */
export class EventSplitter {
    private remainder: Buffer = Buffer.alloc(0);

    /** Number of buffered bytes of an incomplete event. */
    get pendingBytes(): number {
        return this.remainder.length;
    }

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): SplitEvents {
        const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
        const ids: number[] = [];
        let start = 0;
        let count = 0;
        for (let end = findEventEnd(bytes, 0); end !== -1; end = findEventEnd(bytes, end)) {
            const id = readId(bytes.subarray(start, end));
            if (id !== undefined) {
                ids.push(id);
            }
            count += 1;
            start = end;
        }
        this.remainder = bytes.subarray(start);
        return count === 0 ? NO_EVENTS : { bytes: bytes.subarray(0, start), count, ids };
    }
}
