/** Time between two looks, in milliseconds; a fifth of the objective of the shortest usual request. */
const LOOK_EVERY_MS = 100;

/** Looks of which the mean is told; a collection of garbage is over in less. */
const LOOKS = 4;

const US_PER_MS = 1_000;

/** Time after the start in which nothing is told, in milliseconds: code is compiled then, which ends by itself. */
const WARM_UP_MS = 5_000;

interface Look {
    readonly usedMs: number;
    readonly elapsedMs: number;
}

/** What a meter needs. */
export interface ProcessorMeterOptions {
    /** Cores that the process may use, parts of one included. */
    readonly cores: number;
    /** 5,000 by default. */
    readonly warmUpMs?: number;
}

/** How much of the processor time that this process may use it has used lately. */
export class ProcessorMeter {
    private readonly looks: Look[] = [];

    constructor(private readonly opts: ProcessorMeterOptions) {}

    /** Starts to measure; does not keep the process alive. Calls `onLook` after each look. */
    start(onLook: (usedShare: number) => void = () => undefined): void {
        const startedAtMs = performance.now();
        let before = process.cpuUsage();
        let beforeMs = startedAtMs;
        setInterval(() => {
            const now = process.cpuUsage();
            const nowMs = performance.now();
            const usedMs = (now.user + now.system - before.user - before.system) / US_PER_MS;
            this.looks.push({ usedMs, elapsedMs: nowMs - beforeMs });
            this.looks.splice(0, this.looks.length - LOOKS);
            before = now;
            beforeMs = nowMs;
            if (nowMs - startedAtMs >= (this.opts.warmUpMs ?? WARM_UP_MS)) {
                onLook(this.usedShare);
            }
        }, LOOK_EVERY_MS).unref();
    }

    /** Share from 0 to about 1; 0 before the first look. Late looks count by their length. */
    get usedShare(): number {
        const elapsedMs = this.looks.reduce((sum, look) => sum + look.elapsedMs, 0);
        return this.looks.reduce((sum, look) => sum + look.usedMs, 0) / Math.max(1, elapsedMs * this.opts.cores);
    }
}
