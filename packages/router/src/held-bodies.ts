import { OspreyError } from "@ospreyreel/errors";

/** Limits the total bytes of the request bodies held in memory, while they are read or run. */
export class HeldBodies {
    private held = 0;

    /** `maxBytes`: maximum of bytes held at the same time. */
    constructor(private readonly maxBytes: number) {}

    /** Bytes held by all requests. */
    get bytes(): number {
        return this.held;
    }

    /** Starts to count the bytes of one request. */
    open(): HeldBody {
        return new HeldBody(bytes => this.acquire(bytes));
    }

    private acquire(bytes: number): void {
        if (this.held + bytes > this.maxBytes) {
            throw new OspreyError("the request bodies held exceed the limit", { result: "overloaded" });
        }
        this.held += bytes;
    }
}

/** Bytes held for one request. */
export class HeldBody {
    private held = 0;

    constructor(private readonly adjustTotal: (bytes: number) => void) {}

    /** Adds bytes. Throws `overloaded` where the limit would be exceeded. */
    acquire(bytes: number): void {
        this.adjustTotal(bytes);
        this.held += bytes;
    }

    /** Releases all bytes of the request. */
    release(): void {
        this.adjustTotal(-this.held);
        this.held = 0;
    }
}
