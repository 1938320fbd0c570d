/**
 * Maximum size of all responses that are held in memory, in bytes. Until they are collected, copies take about as much again; both
 * fit into the 250 MB of the smallest instances.
 */
const MAX_HELD_BYTES = 32 * 1_024 * 1_024;

/**
 * Limits the bytes of all responses that are held at the same time. A response may hold at most as much as is still
 * free, so that large responses leave room for small ones however many there are.
 */
export class ResponseMemory {
    private held = 0;

    constructor(private readonly maxBytes = MAX_HELD_BYTES) {}

    /** Bytes held by all responses. */
    get heldBytes(): number {
        return this.held;
    }

    /** Starts to count the bytes of one response. */
    open(): HeldResponse {
        return new HeldResponse((before, after) => {
            const held = this.held - before + after;
            if (after > before && after > this.maxBytes - held) {
                return false;
            }
            this.held = held;
            return true;
        });
    }
}

/** Bytes that are held of one response. */
export class HeldResponse {
    private bytes = 0;

    constructor(private readonly tryChange: (before: number, after: number) => boolean) {}

    /** Changes the number of held bytes; throws if it exceeds what is free. */
    resize(bytes: number): void {
        if (!this.tryChange(this.bytes, bytes)) {
            throw new Error("responses hold too much memory");
        }
        this.bytes = bytes;
    }

    /** Releases all bytes. */
    release(): void {
        this.resize(0);
    }
}
