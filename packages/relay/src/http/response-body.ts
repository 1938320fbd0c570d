type Waiter = { readonly resolve: (result: IteratorResult<Buffer>) => void; readonly reject: (err: Error) => void; };

/** Body of a response, pushed by a connection and read by one reader. */
export class ResponseBody implements AsyncIterable<Buffer>, AsyncIterator<Buffer> {
    private readonly chunks: Buffer[] = [];
    private waiter: Waiter | undefined;
    private ended = false;
    private isDiscarded = false;
    private failure: Error | undefined;

    /** `onAbandon` is called when the reader stops before the end of the body. */
    constructor(private readonly onAbandon: () => void) {}

    [Symbol.asyncIterator](): AsyncIterator<Buffer> {
        return this;
    }

    /** Returns the next chunk; rejects if the response was truncated. */
    next(): Promise<IteratorResult<Buffer>> {
        const chunk = this.chunks.shift();
        if (chunk !== undefined) {
            return Promise.resolve({ done: false, value: chunk });
        }
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        if (this.ended) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise((resolve, reject) => {
            this.waiter = { resolve, reject };
        });
    }

    /** Ends the reading early. */
    return(): Promise<IteratorResult<Buffer>> {
        const isOpen = !this.ended && this.failure === undefined;
        this.discard();
        if (isOpen) {
            this.onAbandon();
        }
        return Promise.resolve({ done: true, value: undefined });
    }

    /** Discards all chunks from now on. */
    discard(): void {
        this.isDiscarded = true;
        this.chunks.length = 0;
    }

    /** Adds a chunk. */
    push(chunk: Buffer): void {
        if (this.isDiscarded) {
            return;
        }
        const { waiter } = this;
        this.waiter = undefined;
        if (waiter === undefined) {
            this.chunks.push(chunk);
        }
        else {
            waiter.resolve({ done: false, value: chunk });
        }
    }

    /** Ends the body as complete. */
    end(): void {
        this.ended = true;
        this.waiter?.resolve({ done: true, value: undefined });
        this.waiter = undefined;
    }

    /** Ends the body as truncated. */
    fail(err: Error): void {
        this.failure ??= err;
        this.waiter?.reject(err);
        this.waiter = undefined;
    }
}
