import { EventSplitter } from "../stream/event-splitter.js";

/** Bytes from which a body counts as begun without a complete event, so that little is held of each send. */
const MAX_AHEAD_BYTES = 65_536;

const END: IteratorResult<Buffer> = { done: true, value: undefined };

/** Body of a response that is read up to its first event before it is relayed. */
export class ReadAheadBody implements AsyncIterable<Buffer>, AsyncIterator<Buffer> {
    private readonly source: AsyncIterator<Buffer>;
    private readonly ahead: Buffer[] = [];
    private error: Error | undefined;

    constructor(body: AsyncIterable<Buffer>) {
        this.source = body[Symbol.asyncIterator]();
    }

    /** Why it ended while it was read ahead; undefined where it did not fail. */
    get failure(): string | undefined {
        return this.error?.message;
    }

    [Symbol.asyncIterator](): AsyncIterator<Buffer> {
        return this;
    }

    /** Reads up to the first event; returns whether it has arrived. Where the body ends without one, `isFramed` says if that is its end. */
    async readFirstEvent(isFramed: boolean): Promise<boolean> {
        const splitter = new EventSplitter();
        try {
            for (let bytes = 0; bytes < MAX_AHEAD_BYTES;) {
                const part = await this.source.next();
                if (part.done === true) {
                    this.error = isFramed ? undefined : new Error("the connection ended before the first event");
                    return isFramed;
                }
                this.ahead.push(part.value);
                bytes += part.value.length;
                if (splitter.push(part.value).count > 0) {
                    return true;
                }
            }
        }
        catch (err) {
            this.error = err instanceof Error ? err : new Error(String(err));
            return false;
        }
        return true;
    }

    /** Returns what was read ahead, then the rest; rejects if the response was truncated. */
    async next(): Promise<IteratorResult<Buffer>> {
        const value = this.ahead.shift();
        if (value !== undefined) {
            return { done: false, value };
        }
        if (this.error !== undefined) {
            throw this.error;
        }
        return await this.source.next();
    }

    /** Ends the reading early. */
    async return(): Promise<IteratorResult<Buffer>> {
        this.ahead.length = 0;
        return await this.source.return?.() ?? END;
    }
}
