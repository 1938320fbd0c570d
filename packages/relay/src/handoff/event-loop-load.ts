/** Measures how much of the time the event loop waits for work. */
export class EventLoopLoad {
    private last = performance.eventLoopUtilization();

    /** Idle share since the last call, 0 to 1. */
    takeIdleShare(): number {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, this.last);
        this.last = current;
        return 1 - utilization;
    }
}
