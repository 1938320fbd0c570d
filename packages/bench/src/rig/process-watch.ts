import { readdir, readFile } from "node:fs/promises";
import type { RigProcess } from "./rig-process.js";

const BYTES_PER_KIB = 1_024;
const SAMPLE_INTERVAL_MS = 20;

/** Reads the peaks of memory and of open descriptors of a process that the rig has started. */
export class ProcessWatch {
    private maxDescriptors = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly process: RigProcess) {
        this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
    }

    /** Whether the process has not ended. */
    get isRunning(): boolean {
        return this.process.isRunning;
    }

    /** Highest number of open descriptors at a sample. */
    get peakDescriptors(): number {
        return this.maxDescriptors;
    }

    /** Highest resident memory since the start of the process, in bytes; 0 where it has ended. */
    async readPeakMemory(): Promise<number> {
        const status = await readFile(`/proc/${this.process.pid}/status`, "utf8").catch(() => "");
        return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0) * BYTES_PER_KIB;
    }

    /** Stops sampling. */
    close(): void {
        clearInterval(this.timer);
    }

    private async sample(): Promise<void> {
        const open = await readdir(`/proc/${this.process.pid}/fd`).catch(() => []);
        this.maxDescriptors = Math.max(this.maxDescriptors, open.length);
    }
}
