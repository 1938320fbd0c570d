/**
 * Maximum sizes of all requests and of all responses that are held in memory, in bytes. Until they are collected, copies take about as much
 * again; all of it fits into the 250 MB of the smallest instances.
 */
export const MAX_REQUEST_BYTES = 16 * 1_024 * 1_024;
export const MAX_RESPONSE_BYTES = 32 * 1_024 * 1_024;

/**
 * Limits the bytes of all messages that are held at the same time. A message may hold at most as much as is still
 * free, so that large messages leave room for small ones however many there are.
 */
export class MessageMemory {
    private held = 0;

    constructor(private readonly maxBytes: number) {}

    /** Bytes held by all messages. */
    get heldBytes(): number {
        return this.held;
    }

    /** Starts to count the bytes of one message. */
    open(): HeldMessage {
        return new HeldMessage((before, after) => {
            const held = this.held - before + after;
            if (after > before && after > this.maxBytes - held) {
                return false;
            }
            this.held = held;
            return true;
        });
    }
}

/** Bytes that are held of one message. */
export class HeldMessage {
    private bytes = 0;
    private isReleased = false;

    constructor(private readonly tryChange: (before: number, after: number) => boolean) {}

    /** Changes the number of held bytes; throws if it exceeds what is free. */
    resize(bytes: number): void {
        if (!this.tryResize(bytes)) {
            throw new Error("messages hold too much memory");
        }
    }

    /** Changes the number of held bytes; returns whether it does not exceed what is free. */
    tryResize(bytes: number): boolean {
        const isChanged = !this.isReleased && this.tryChange(this.bytes, bytes);
        if (isChanged) {
            this.bytes = bytes;
        }
        return isChanged;
    }

    /** Releases all bytes; no more can be held. */
    release(): void {
        this.tryResize(0);
        this.isReleased = true;
    }
}
