const LF = 0x0a;
const CR = 0x0d;

/** Whole events cut from a stream of server-sent events. */
export interface SplitEvents {
    /** Bytes of the whole events, blank lines included; empty where none is complete. */
    readonly bytes: Buffer;
    /** Number of events. */
    readonly count: number;
    /** Ids in order; an event without a numeric id is left out. */
    readonly ids: readonly number[];
}

const NOTHING: SplitEvents = { bytes: Buffer.alloc(0), count: 0, ids: [] };

/** End of the blank line that ends an event, or -1. */
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

/** Cuts a byte stream at the ends of events, so that a part of one is never passed on. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Bytes of an event that has not ended. */
    get pendingBytes(): number {
        return this.rest.length;
    }

    /** Takes bytes and returns the events that they complete. */
    push(chunk: Buffer): SplitEvents {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
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
        this.rest = bytes.subarray(start);
        return count === 0 ? NOTHING : { bytes: bytes.subarray(0, start), count, ids };
    }
}
