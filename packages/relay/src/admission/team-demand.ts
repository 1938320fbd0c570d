/** Knows how much of a scarce service each team asks for, and what share of its requests goes before those of others. */
export abstract class TeamDemand {
    /** Counts a request that arrived. */
    abstract recordOffered(service: string, team: string): void;

    /** Counts a request that may be sent. */
    abstract recordStarted(service: string): void;

    /** Records that a request was refused for want of room. */
    abstract recordShort(service: string): void;

    /** Counts a request that would have to wait; returns whether it is within its team's share. */
    abstract acquire(service: string, team: string, priority: number): boolean;

    /** Shares of the requests of teams that ask for more than their part now, 0 to 1. */
    abstract getShares(service: string): Readonly<Record<string, number>>;
}

/** Limits no team. */
export class UnlimitedTeams extends TeamDemand {
    override recordOffered(): void {
        // Nothing is counted.
    }

    override recordStarted(): void {
        // Nothing is counted.
    }

    override recordShort(): void {
        // Nothing is counted.
    }

    override acquire(): boolean {
        return true;
    }

    override getShares(): Readonly<Record<string, number>> {
        return {};
    }
}
