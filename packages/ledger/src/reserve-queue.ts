import type { LocalGrant } from "./local-grant.js";

/** A request that waits for a draw. */
export interface WaitingReserve {
    readonly budget: string;
    readonly tokens: number;
    readonly resolve: (granted: boolean) => void;
    readonly reject: (err: unknown) => void;
}

/** Requests of one shard that wait for a draw, in their order. */
export class ReserveQueue {
    private readonly waiting = new Set<WaitingReserve>();

    /** Number of waiting requests. */
    get size(): number {
        return this.waiting.size;
    }

    /** Waits for {@link resolve} or {@link reject}. Throws the reason of an aborted signal; nothing is reserved then. */
    async add(budget: string, tokens: number, signal: AbortSignal): Promise<boolean> {
        signal.throwIfAborted();
        return await new Promise<boolean>((resolve, reject) => {
            const waiter: WaitingReserve = { budget, tokens, resolve, reject };
            this.waiting.add(waiter);
            signal.addEventListener("abort", () => this.reject([waiter], signal.reason), { once: true });
        });
    }

    /** Currently waiting requests. */
    list(): readonly WaitingReserve[] {
        return [...this.waiting];
    }

    /** Budgets with waiting requests. */
    listBudgets(): readonly string[] {
        return [...new Set(this.list().map(waiter => waiter.budget))];
    }

    /** Sum of the waiting requests that fit into a limit, in their order; one that is too large is skipped. */
    getSatisfiable(budget: string, limit: number): number {
        let sum = 0;
        for (const waiter of this.waiting) {
            if (waiter.budget === budget && sum + waiter.tokens <= limit) {
                sum += waiter.tokens;
            }
        }
        return sum;
    }

    /** Reserves for the given requests that still wait and fit now; refuses the others. */
    resolve(waiters: readonly WaitingReserve[], getGrant: (budget: string) => LocalGrant, nowMs: number): void {
        // A request that no longer waits was refused in the meantime; a reservation for it would never end.
        for (const waiter of waiters.filter(candidate => this.waiting.delete(candidate))) {
            const grant = getGrant(waiter.budget);
            const enough = grant.available >= waiter.tokens;
            if (enough) {
                grant.reserve(waiter.tokens, nowMs);
            }
            waiter.resolve(enough);
        }
    }

    /** Rejects the given requests that still wait with an error. */
    reject(waiters: readonly WaitingReserve[], err: unknown): void {
        waiters.filter(waiter => this.waiting.delete(waiter)).forEach(waiter => waiter.reject(err));
    }
}
