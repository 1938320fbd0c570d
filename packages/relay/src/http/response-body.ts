type Waiter = { readonly resolve: (result: IteratorResult<Buffer>) => void; readonly reject: (err: Error) => void; };

/** Body of a response, pushed by a connection and read by one reader. */
export class ResponseBody implements AsyncIterable<Buffer>, AsyncIterator<Buffer> {
    private readonly chunks: Buffer[] = [];
    private waiter: Waiter | undefined;
    private ended = false;
    private failure: Error | undefined;

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

    /** Adds a chunk. */
    push(chunk: Buffer): void {
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
