import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import type { Address } from "@ospreyreel/types";

/** Status and headers of a response to a caller. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
}

/** A response that may still be growing; any number of callers read it, each from its beginning. */
export class SharedResponse {
    private head: ResponseHead | undefined;
    private readonly chunks: Buffer[] = [];
    private size = 0;
    private ended = false;
    private failure: OspreyError | undefined;
    private isClosedToNewReaders = false;
    private forwardAddress: Address | undefined;
    private resolveChange: () => void = () => undefined;
    private nextChange = this.createNextChange();

    /** `maxBytes`: size above which a complete response is not available to later readers. */
    constructor(private readonly maxBytes: number) {}

    /** Whether the response is complete or failed. */
    get isDone(): boolean {
        return this.ended || this.failure !== undefined;
    }

    /** Size of the body so far. */
    get bytes(): number {
        return this.size;
    }

    /** Whether a new reader can still get the whole response. */
    get isReadable(): boolean {
        return !this.isClosedToNewReaders && this.failure === undefined;
    }

    /** Why the response ended early. */
    get error(): OspreyError | undefined {
        return this.failure;
    }

    /** Instance that serves the request instead; undefined where it was not forwarded. */
    get forwardedTo(): Address | undefined {
        return this.forwardAddress;
    }

    /** Ends the response here, since another instance serves the request. */
    forwardTo(to: Address): void {
        this.forwardAddress = to;
        this.fail(new OspreyError("the request was forwarded to another instance", { result: "inProgressElsewhere" }));
    }

    /** Sets status and headers; called once. */
    start(head: ResponseHead): void {
        this.head = head;
        this.notify();
    }

    /** Appends to the body. */
    write(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.size += chunk.length;
        this.notify();
    }

    /** Ends the response as complete. */
    end(): void {
        this.ended = true;
        this.notify();
        if (this.size > this.maxBytes) {
            this.closeToNewReaders();
        }
    }

    /** Ends the response as incomplete or rejected. */
    fail(err: unknown): void {
        if (!this.isDone) {
            this.failure = toOspreyError(err);
            this.notify();
        }
    }

    /** Closes the response to new readers; current readers still get it whole. */
    closeToNewReaders(): void {
        this.isClosedToNewReaders = true;
    }

    /** Waits for status and headers. Throws the failure if it comes first. */
    async readHead(): Promise<ResponseHead> {
        while (this.head === undefined) {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            await this.nextChange;
        }
        return this.head;
    }

    /** Yields the body from its beginning. Throws the failure where the response is incomplete. */
    async *readBody(): AsyncGenerator<Buffer> {
        for (let index = 0;;) {
            const chunk = this.chunks[index];
            if (chunk !== undefined) {
                index += 1;
                yield chunk;
            }
            else if (this.failure !== undefined) {
                throw this.failure;
            }
            else if (this.ended) {
                return;
            }
            else {
                await this.nextChange;
            }
        }
    }

    private createNextChange(): Promise<void> {
        return new Promise(resolve => {
            this.resolveChange = resolve;
        });
    }

    private notify(): void {
        const { resolveChange } = this;
        this.nextChange = this.createNextChange();
        resolveChange();
    }
}
