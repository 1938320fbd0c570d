/** Time between two looks, in milliseconds; a fifth of the objective of the shortest usual request. */
const LOOK_EVERY_MS = 100;

/** Looks of which the mean is told; a collection of garbage is over in less. */
const LOOKS = 4;

const US_PER_MS = 1_000;

/** What a meter needs. */
export interface ProcessorMeterOptions {
    /** Cores that the process may use, parts of one included. */
    readonly cores: number;
}

/** How much of the processor time that this process may use it has used lately. */
export class ProcessorMeter {
    private readonly shares: number[] = [];

    constructor(private readonly opts: ProcessorMeterOptions) {}

    /** Starts to measure; does not keep the process alive. Calls `onLook` after each look. */
    start(onLook: (usedShare: number) => void = () => undefined): void {
        let before = process.cpuUsage();
        let beforeMs = performance.now();
        setInterval(() => {
            const used = process.cpuUsage(before);
            const nowMs = performance.now();
            const usedMs = (used.user + used.system) / US_PER_MS;
            this.shares.push(usedMs / ((nowMs - beforeMs) * this.opts.cores));
            this.shares.splice(0, this.shares.length - LOOKS);
            before = process.cpuUsage();
            beforeMs = nowMs;
            onLook(this.usedShare);
        }, LOOK_EVERY_MS).unref();
    }

    /** Share from 0 to about 1; 0 before the first look. */
    get usedShare(): number {
        return this.shares.reduce((sum, share) => sum + share, 0) / Math.max(1, this.shares.length);
    }
}
