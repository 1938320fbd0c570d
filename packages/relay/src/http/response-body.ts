import { ByteCollector } from "@ospreyreel/peer";

type Waiter = { readonly resolve: (result: IteratorResult<Buffer>) => void; readonly reject: (err: Error) => void; };

/** Number of buffered bytes from which the source is paused. */
const PAUSE_FROM_BYTES = 65_536;

/** Where the chunks of a body come from. */
export interface ResponseSource {
    /** Stops the chunks until `resume` is called. */
    readonly pause: () => void;
    readonly resume: () => void;
    /** Called when the reader stops before the end of the body. */
    readonly abandon: () => void;
}

/** Body of a response, pushed by a connection and read by one reader. */
export class ResponseBody implements AsyncIterable<Buffer>, AsyncIterator<Buffer> {
    private readonly buffered = new ByteCollector();
    private waiter: Waiter | undefined;
    private isScheduled = false;
    private ended = false;
    private isDiscarded = false;
    private failure: Error | undefined;

    constructor(private readonly source: ResponseSource) {}

    [Symbol.asyncIterator](): AsyncIterator<Buffer> {
        return this;
    }

    /** Returns the bytes that have arrived since the last call; rejects if the response was truncated. */
    next(): Promise<IteratorResult<Buffer>> {
        return new Promise((resolve, reject) => {
            this.waiter = { resolve, reject };
            this.settle();
        });
    }

    /** Ends the reading early. */
    return(): Promise<IteratorResult<Buffer>> {
        const isOpen = !this.ended && this.failure === undefined;
        this.discard();
        if (isOpen) {
            this.source.abandon();
        }
        return Promise.resolve({ done: true, value: undefined });
    }

    /** Discards all chunks from now on. */
    discard(): void {
        this.isDiscarded = true;
        this.buffered.clear();
        this.source.resume();
    }

    /** Adds a chunk. */
    push(chunk: Buffer): void {
        if (this.isDiscarded) {
            return;
        }
        this.buffered.add(chunk);
        if (this.buffered.size >= PAUSE_FROM_BYTES) {
            this.source.pause();
        }
        this.scheduleSettle();
    }

    /** Ends the body as complete. */
    end(): void {
        this.ended = true;
        this.scheduleSettle();
    }

    /** Ends the body as truncated. */
    fail(err: Error): void {
        this.failure ??= err;
        this.scheduleSettle();
    }

    /** Lets chunks that are parsed in the same turn be returned as one. */
    private scheduleSettle(): void {
        if (this.waiter !== undefined && !this.isScheduled) {
            this.isScheduled = true;
            queueMicrotask(() => {
                this.isScheduled = false;
                this.settle();
            });
        }
    }

    private settle(): void {
        const { waiter, buffered } = this;
        if (waiter === undefined || (buffered.size === 0 && !this.ended && this.failure === undefined)) {
            return;
        }
        this.waiter = undefined;
        if (buffered.size > 0) {
            waiter.resolve({ done: false, value: buffered.take() });
            this.source.resume();
        }
        else if (this.failure === undefined) {
            waiter.resolve({ done: true, value: undefined });
        }
        else {
            waiter.reject(this.failure);
        }
    }
}
