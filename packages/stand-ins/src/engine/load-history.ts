/** Load at one moment. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    readonly capacity: number;
    /** Milliseconds since the epoch at which this was so. */
    readonly at: number;
}

/** Load reports that are read with a lag. */
export class LoadHistory {
    private reports: readonly LoadReport[];

    constructor(private readonly capacity: number, private readonly lagMs: number) {
        this.reports = [{ running: 0, queued: 0, capacity, at: Date.now() }];
    }

    /** Notes the load as it is now. */
    add(running: number, queued: number): void {
        this.reports = [...this.trim(), { running, queued, capacity: this.capacity, at: Date.now() }];
    }

    /** The newest report that is older than the lag. */
    read(): LoadReport {
        this.reports = this.trim();
        return this.reports[0] as LoadReport;
    }

    private trim(): readonly LoadReport[] {
        const newest = Date.now() - this.lagMs;
        const current = this.reports.findLastIndex(report => report.at <= newest);
        return this.reports.slice(Math.max(current, 0));
    }
}
