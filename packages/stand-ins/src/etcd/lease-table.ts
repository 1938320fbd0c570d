/** Called when a lease ends, by lapse or on request. */
export type LeaseEndHandler = (leaseId: string) => void;

interface Lease {
    readonly ttlS: number;
    timer: NodeJS.Timeout;
}

const MS_PER_S = 1000;

/** Leases that lapse unless renewed. */
export class LeaseTable {
    private readonly leases = new Map<string, Lease>();
    private readonly onEnd: LeaseEndHandler;
    private lastId = 7_000_000_000;

    constructor(onEnd: LeaseEndHandler) {
        this.onEnd = onEnd;
    }

    /** Makes a lease and returns its id. */
    grant(ttlS: number): string {
        this.lastId += 1;
        const leaseId = String(this.lastId);
        this.leases.set(leaseId, { ttlS, timer: this.startTimer(leaseId, ttlS) });
        return leaseId;
    }

    /** Whether the lease has not ended. */
    has(leaseId: string): boolean {
        return this.leases.has(leaseId);
    }

    /** Renews a lease; returns its seconds, 0 where it has ended. */
    renew(leaseId: string): number {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return 0;
        }
        clearTimeout(lease.timer);
        lease.timer = this.startTimer(leaseId, lease.ttlS);
        return lease.ttlS;
    }

    /** Ends a lease; false where it had ended already. */
    end(leaseId: string): boolean {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return false;
        }
        clearTimeout(lease.timer);
        this.leases.delete(leaseId);
        this.onEnd(leaseId);
        return true;
    }

    /** Stops all timers without ending leases. */
    close(): void {
        for (const lease of this.leases.values()) {
            clearTimeout(lease.timer);
        }
    }

    private startTimer(leaseId: string, ttlS: number): NodeJS.Timeout {
        return setTimeout(() => this.end(leaseId), ttlS * MS_PER_S);
    }
}
