import type { PeerHub } from "@ospreyreel/peer";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import { FleetTargetLoads } from "./fleet-target-loads.js";
import { LoadTable } from "./load-table.js";
import { OwnSends } from "./own-sends.js";
import { getReportIntervalMs, type ReportScale } from "./report-interval.js";
import type { ReportPort } from "./report-port.js";
import { ReportReaders } from "./report-readers.js";
import { ReportSpreader } from "./report-spreader.js";
import type { TargetLoads } from "./target-loads.js";
import { TargetReporter } from "./target-reporter.js";

/** Options of {@link LoadSharing}. */
export interface LoadSharingOptions {
    readonly hub: PeerHub;
    readonly directory: TargetDirectory;
    readonly port: ReportPort;
    /** Interval between two reads of a target in a small fleet, in milliseconds. */
    readonly intervalMs: number;
    /** Whether the targets of a service have reports; each by default. */
    readonly hasReports?: (service: string) => boolean;
    /** Whether this instance has lost contact with all others; then it reads nothing. */
    readonly isCutOff: () => boolean;
    readonly log: RelayLog;
    /** Adds to a counter, by default one. */
    readonly count: (name: string, amount?: number) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/** Loads of targets in the state dump. */
export interface LoadSharingView {
    readonly intervalMs: number;
    /** Targets that this instance reads. */
    readonly ownTargets: readonly string[];
    /** Number of those that gave no report the last time. */
    readonly unreadTargets: number;
    /** Number of targets of which a report is known. */
    readonly reports: number;
}

/** Time for which the sizes of the fleet and of its targets are used again, in milliseconds. */
const SCALE_TTL_MS = 1_000;

/** Shares the reports of targets between the instances of a region. */
export class LoadSharing {
    readonly loads: TargetLoads;
    /** Observes this instance's sends. */
    readonly sends: OwnSends;
    private readonly table: LoadTable;
    private readonly readers: ReportReaders;
    private readonly spreader: ReportSpreader;
    private readonly reporter: TargetReporter;
    private readonly nowMs: () => number;
    private scale: ReportScale = { instances: 1, fleet: 1, targets: 0 };
    private scaledAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: LoadSharingOptions) {
        const { hub, directory, nowMs = () => performance.now() } = opts;
        this.nowMs = nowMs;
        this.table = new LoadTable({ directory });
        this.sends = new OwnSends(nowMs);
        this.readers = new ReportReaders(opts);
        this.spreader = new ReportSpreader({
            ...opts,
            nowMs,
            listPeers: () => this.readers.listPeers(),
            onMessage: message => this.reporter.receive(message),
        });
        this.reporter = new TargetReporter({
            ...opts,
            nowMs,
            getIncarnation: () => hub.self().incarnation,
            table: this.table,
            listOwnTargets: () => this.listOwnTargets(),
            spread: message => this.spreader.spread(message),
        });
        const getIntervalMs = (): number => this.intervalMs;
        this.loads = new FleetTargetLoads({ table: this.table, sends: this.sends, getIntervalMs, nowMs });
    }

    /** Interval between two reads of a target, in milliseconds. */
    get intervalMs(): number {
        if (this.nowMs() - this.scaledAtMs >= SCALE_TTL_MS) {
            this.scaledAtMs = this.nowMs();
            this.scale = this.readers.getScale();
        }
        return getReportIntervalMs(this.opts.intervalMs, this.scale);
    }

    /** State for operators. */
    get view(): LoadSharingView {
        return {
            intervalMs: Math.round(this.intervalMs),
            ownTargets: this.listOwnTargets().map(target => target.id),
            unreadTargets: this.reporter.unreadTargets,
            reports: this.table.size,
        };
    }

    /** Starts receiving what other instances read. */
    serve(): void {
        this.spreader.serve();
    }

    /** Reads and sends reports once, where this instance is a reader; does not throw. */
    async readOnce(): Promise<void> {
        await this.reporter.readOnce();
    }

    /** Reads and sends reports at the interval, until the process ends. */
    async run(): Promise<void> {
        for (;;) {
            const startedAtMs = this.nowMs();
            await this.readOnce();
            const spentMs = this.nowMs() - startedAtMs;
            await sleep(Math.max(this.intervalMs - spentMs, this.intervalMs / 2), undefined, { ref: false });
        }
    }

    private listOwnTargets(): ReturnType<ReportReaders["listOwnTargets"]> {
        return this.opts.isCutOff() ? [] : this.readers.listOwnTargets();
    }
}
