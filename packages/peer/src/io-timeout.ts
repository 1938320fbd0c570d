/**
 * A timeout for something that is read from a socket. After a late turn of the event loop expired timers run before
 * pending reads, so the callback runs only after one more round of reads.
 */
export class IoTimeout {
    private readonly timer: NodeJS.Timeout;
    private lastRead: NodeJS.Immediate | undefined;

    /** Calls back after a time in milliseconds, unless canceled before. */
    constructor(onExpire: () => void, ms: number) {
        this.timer = setTimeout(() => {
            this.lastRead = setImmediate(onExpire);
        }, ms);
    }

    /** Cancels the timeout; the callback does not run any more. */
    cancel(): void {
        clearTimeout(this.timer);
        clearImmediate(this.lastRead);
    }
}
