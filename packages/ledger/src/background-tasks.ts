import type { Counters } from "@ospreyreel/telemetry";
import { periodic, type Stream } from "most";
import { randomInt } from "node:crypto";

/** Runs background tasks until they are stopped. A failed run is counted, and the next run tries again. */
export class BackgroundTasks {
    private isStopped = false;

    constructor(private readonly counters: Counters) {}

    /** Whether {@link stop} was called. */
    get stopped(): boolean {
        return this.isStopped;
    }

    /** Starts no further runs; runs in progress continue. */
    stop(): void {
        this.isStopped = true;
    }

    /** Runs a task once. */
    run(task: () => Promise<void>): void {
        task().catch(() => this.counters.add("ledger_task_errors"));
    }

    /** Runs a task at an interval. */
    every(intervalMs: number, task: () => Promise<void>): void {
        // Without the random phase, instances started together would write the same records at the same moments.
        const phaseMs = randomInt(intervalMs);
        const ticks = periodic(intervalMs).delay(phaseMs).takeWhile(() => !this.isStopped);
        void ticks.observe(() => this.run(task));
    }

    /** Runs a task for each event of a stream. */
    runForEach<T>(events: Stream<T>, task: (event: T) => Promise<void>): void {
        void events.takeWhile(() => !this.isStopped).observe(event => this.run(() => task(event)));
    }
}
