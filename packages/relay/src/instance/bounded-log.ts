import { createLog, type Log } from "@ospreyreel/telemetry";
import { type LogFields, RelayLog } from "../relay-log.js";

/**
 * Maximum number of lines per second; further lines are only counted. This is about 30 KB/s, far below the throughput
 * of a pipe.
 */
const MAX_LINES_PER_S = 150;

const SECOND_MS = 1_000;

/** Writes lines up to a rate limit, and logs how many it dropped. */
export class BoundedLog extends RelayLog {
    private readonly log: Log;
    private remainingLines = MAX_LINES_PER_S;
    private dropped = 0;
    private windowEndsAtMs = 0;

    constructor(part: string, private readonly now: () => number = () => performance.now()) {
        super();
        this.log = createLog(part);
    }

    override write(event: string, fields: LogFields): void {
        const nowMs = this.now();
        if (nowMs >= this.windowEndsAtMs) {
            this.startWindow(nowMs);
        }
        if (this.remainingLines === 0) {
            this.dropped += 1;
            return;
        }
        this.remainingLines -= 1;
        this.log.info(fields, event);
    }

    private startWindow(nowMs: number): void {
        this.windowEndsAtMs = nowMs + SECOND_MS;
        this.remainingLines = MAX_LINES_PER_S;
        if (this.dropped > 0) {
            this.log.warn({ lines: this.dropped }, "lines dropped");
            this.dropped = 0;
        }
    }
}
