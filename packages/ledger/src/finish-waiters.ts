/** Callers that wait until the copy holder has a finish, by intent. */
export class FinishWaiters {
    private readonly waiting = new Map<string, (accepted: boolean) => void>();

    /** Resolves with true once {@link accept} names the intent, with false once {@link endAll} is called. */
    async wait(intentId: string): Promise<boolean> {
        return await new Promise<boolean>(resolve => {
            this.waiting.set(intentId, resolve);
        });
    }

    /** Resolves the waiter of a finish that the copy holder has. */
    accept(intentId: string): void {
        this.waiting.get(intentId)?.(true);
        this.waiting.delete(intentId);
    }

    /** Resolves all waiters with false: their finishes can no longer be accepted. */
    endAll(): void {
        this.waiting.forEach(resolve => resolve(false));
        this.waiting.clear();
    }
}
