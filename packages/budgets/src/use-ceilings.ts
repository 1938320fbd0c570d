import type { CopyHorizon } from "./copy-horizon.js";
import type { StoredCeiling } from "./shard-record.js";

interface Ceiling {
    readonly tokens: number;
    /** Monotonic time by which it was stored in the present era, in milliseconds; undefined where that is not known. */
    storedAtMs: number | undefined;
}

/** Ceilings that are kept of one budget; more of them are merged. */
const MAX_CEILINGS = 16;

/**
 * Ceilings on the use of one budget that the KV service holds, or may hold after it came back from a copy, oldest first. Whoever
 * reads one of them in such a copy counts it as used, so that the use stays below the lowest.
 */
export class UseCeilings {
    private era: number;

    private constructor(private readonly horizon: CopyHorizon, private ceilings: readonly Ceiling[]) {
        this.era = horizon.era;
    }

    /** Starts with a ceiling that whoever takes the budget over counts as used, whatever copy the service comes back from. */
    static startAt(tokens: number, horizon: CopyHorizon): UseCeilings {
        return new UseCeilings(horizon, [{ tokens, storedAtMs: undefined }]);
    }

    /** Continues those of a record that was read in its own era, at a monotonic time in milliseconds. */
    static decode(stored: readonly StoredCeiling[], readAtMs: number, horizon: CopyHorizon): UseCeilings {
        return new UseCeilings(
            horizon,
            stored.map(({ tokens, ageMs }) => ({
                tokens,
                storedAtMs: ageMs === undefined ? undefined : readAtMs - ageMs,
            })),
        );
    }

    /** Total use that no owner may exceed now. */
    get usable(): number {
        this.dropOutdated();
        return Math.min(...this.ceilings.map(({ tokens }) => tokens));
    }

    /** The ceiling that was written last. */
    get latest(): number {
        return this.ceilings.at(-1)?.tokens ?? 0;
    }

    /** Time until so many tokens may be used in all, in milliseconds; undefined where no ceiling allows it yet. */
    getWaitMs(tokens: number): number | undefined {
        const last = this.ceilings.findLastIndex(ceiling => ceiling.tokens < tokens);
        const storedAtMs = this.ceilings[last + 1]?.storedAtMs;
        return storedAtMs === undefined ? undefined : this.horizon.getWaitMs(storedAtMs);
    }

    /** Whether a call to the KV service that is made now raises the usable ceiling. */
    get isConfirmable(): boolean {
        return this.ceilings.slice(1).some(({ storedAtMs }) =>
            storedAtMs !== undefined && this.horizon.getWaitMs(storedAtMs) === 0
        );
    }

    /** Adds a ceiling that is about to be written; it counts at once if it is lower. */
    propose(tokens: number): void {
        this.dropOutdated();
        if (tokens === this.latest) {
            return;
        }
        const [first, second, ...others] = [...this.ceilings, { tokens, storedAtMs: undefined }];
        this.ceilings = first !== undefined && second !== undefined && others.length > MAX_CEILINGS
            ? [{ tokens: Math.min(first.tokens, second.tokens), storedAtMs: second.storedAtMs }, ...others]
            : [...this.ceilings, { tokens, storedAtMs: undefined }];
    }

    /** Records that a ceiling is stored in the present era. */
    confirm(tokens: number, storedAtMs: number): void {
        this.dropOutdated();
        const known = this.ceilings.findLast(ceiling => ceiling.tokens === tokens);
        if (known === undefined) {
            this.ceilings = [...this.ceilings, { tokens, storedAtMs }];
        }
        else {
            known.storedAtMs ??= storedAtMs;
        }
    }

    /** Encodes them for a record that is written at a monotonic time in milliseconds. */
    encode(nowMs: number): readonly StoredCeiling[] {
        this.dropOutdated();
        return this.ceilings.map(({ tokens, storedAtMs }, at) => ({
            tokens,
            ...(at === this.ceilings.length - 1 ? { ageMs: 0 } : {}),
            ...(storedAtMs === undefined ? {} : { ageMs: Math.max(0, Math.floor(nowMs - storedAtMs)) }),
        }));
    }

    /** Drops those before one that is in each copy. */
    private dropOutdated(): void {
        if (this.era !== this.horizon.era) {
            this.era = this.horizon.era;
            this.ceilings.forEach(ceiling => ceiling.storedAtMs = undefined);
        }
        const first = this.ceilings.findLastIndex(({ storedAtMs }) =>
            storedAtMs !== undefined && this.horizon.contains(storedAtMs)
        );
        if (first > 0) {
            this.ceilings = this.ceilings.slice(first);
        }
    }
}
