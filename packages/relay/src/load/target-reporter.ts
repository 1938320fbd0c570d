import { hash32 } from "@ospreyreel/peer";
import type { TargetLoadsMessage } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import { getStartKey, type Target } from "../targets/target.js";
import { DeliveryDelay } from "./delivery-delay.js";
import type { LoadTable } from "./load-table.js";
import { decodeReadings, encodeReadings } from "./reading-codec.js";
import type { ReportPort } from "./report-port.js";
import type { TargetReading } from "./target-reading.js";

/** Options of {@link TargetReporter}. */
export interface TargetReporterOptions {
    /** Names this start of this instance. */
    readonly getIncarnation: () => string;
    readonly port: ReportPort;
    readonly table: LoadTable;
    /** Targets that this instance reads. */
    readonly listOwnTargets: () => readonly Target[];
    /** Sends a message to the other instances; does not throw. */
    readonly spread: (message: TargetLoadsMessage) => Promise<void>;
    readonly log: RelayLog;
    /** Adds to a counter, by default one. */
    readonly count: (name: string, amount?: number) => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Age of the values in a report when a target sends it, in milliseconds. */
const VALUE_AGE_MS = 100;

/** Time for which a target without reports is not read again, in milliseconds. */
const NO_REPORT_PAUSE_MS = 5_000;

/** Time for which a target is not read again after a failed read, in milliseconds. */
const FAILED_PAUSE_MS = 1_000;

/** Maximum number of reads at the same time. */
const MAX_CONCURRENT = 16;

/** A target whose last read gave no report. */
interface PausedTarget {
    readonly untilMs: number;
    readonly cause: string;
}

/** Reads the reports of this instance's targets and sends them to the others, and takes over what others have read. */
export class TargetReporter {
    private readonly delays = new DeliveryDelay();
    private paused: ReadonlyMap<string, PausedTarget> = new Map();

    constructor(private readonly opts: TargetReporterOptions) {}

    /** Number of targets of this instance that gave no report the last time. */
    get unreadTargets(): number {
        return this.paused.size;
    }

    /** Takes over a message of another instance. */
    receive({ by, at, of }: TargetLoadsMessage): void {
        const { table, nowMs, count } = this.opts;
        const arrivedAtMs = nowMs();
        const delayMs = this.delays.getDelayMs(String(by), at, arrivedAtMs);
        const readings = decodeReadings(of);
        readings.forEach(reading => table.put({ ...reading, ageMs: reading.ageMs + delayMs }, arrivedAtMs));
        count("target_loads_received", readings.length);
    }

    /** Reads each target of this instance once and sends the readings; does not throw. */
    async readOnce(): Promise<void> {
        const { opts } = this;
        const targets = opts.listOwnTargets();
        opts.port.keepOnly(targets);
        const startedAtMs = opts.nowMs();
        const keys = new Set(targets.map(getStartKey));
        this.paused = new Map([...this.paused].filter(([key]) => keys.has(key)));
        const pending = targets.filter(target =>
            startedAtMs >= (this.paused.get(getStartKey(target))?.untilMs ?? Number.NEGATIVE_INFINITY)
        );
        const readings: (Omit<TargetReading, "ageMs"> & { readonly atMs: number; })[] = [];
        const work = async (): Promise<void> => {
            for (let target = pending.pop(); target !== undefined; target = pending.pop()) {
                const reading = await this.read(target);
                if (reading !== undefined) {
                    readings.push(reading);
                }
            }
        };
        await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT, pending.length) }, work));
        if (readings.length === 0) {
            return;
        }
        const nowMs = opts.nowMs();
        const aged = readings.map(({ atMs, ...reading }) => ({ ...reading, ageMs: nowMs - atMs }));
        aged.forEach(reading => opts.table.put(reading, nowMs));
        opts.count("target_reports_read", aged.length);
        await opts.spread({ by: hash32(opts.getIncarnation()), at: Math.round(nowMs), of: encodeReadings(aged) });
    }

    private async read(target: Target): Promise<Omit<TargetReading, "ageMs"> & { readonly atMs: number; } | undefined> {
        const { port, table, nowMs } = this.opts;
        const atMs = nowMs() - VALUE_AGE_MS;
        const outcome = await port.read(target);
        if (outcome.kind !== "read") {
            this.pause(target, outcome.kind === "none" ? "the response has no report" : outcome.cause, outcome.kind);
            return undefined;
        }
        this.resume(target);
        const start = table.getDigest(target);
        return start === undefined ? undefined : { ...outcome.report, start, atMs };
    }

    private pause(target: Target, cause: string, kind: "none" | "failed"): void {
        const { log, count, nowMs } = this.opts;
        const key = getStartKey(target);
        const pauseMs = kind === "none" ? NO_REPORT_PAUSE_MS : FAILED_PAUSE_MS;
        const before = this.paused.get(key);
        this.paused = new Map([...this.paused, [key, { untilMs: nowMs() + pauseMs, cause }]]);
        count("target_reports_failed");
        if (before === undefined) {
            log.write("target report not read", { target: target.id, cause });
        }
    }

    private resume(target: Target): void {
        const key = getStartKey(target);
        if (this.paused.has(key)) {
            this.paused = new Map([...this.paused].filter(([other]) => other !== key));
            this.opts.log.write("target report read again", { target: target.id });
        }
    }
}
