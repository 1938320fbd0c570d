/** Options of {@link PrefixHistory}. */
export interface PrefixHistoryOptions {
    /** Maximum number of prefixes. */
    readonly maxPrefixes?: number;
    /** Maximum number of targets for one prefix. */
    readonly maxTargets?: number;
}

const DEFAULT_MAX_PREFIXES = 10_000;
const DEFAULT_MAX_TARGETS = 3;

/** Targets that are expected to have a prompt prefix cached; a hint, wrong where cache events were missed. */
export class PrefixHistory {
    private readonly targetsByPrefix = new Map<string, readonly string[]>();

    constructor(private readonly opts: PrefixHistoryOptions = {}) {}

    /** Number of stored prefixes. */
    get size(): number {
        return this.targetsByPrefix.size;
    }

    /** Whether a target is expected to have a prefix cached. */
    has(prefixHash: string, target: string): boolean {
        return this.targetsByPrefix.get(prefixHash)?.includes(target) ?? false;
    }

    /** Records that a target has a prefix cached. */
    add(prefixHash: string, target: string): void {
        const { maxPrefixes = DEFAULT_MAX_PREFIXES, maxTargets = DEFAULT_MAX_TARGETS } = this.opts;
        const others = (this.targetsByPrefix.get(prefixHash) ?? []).filter(other => other !== target);
        this.targetsByPrefix.delete(prefixHash);
        this.targetsByPrefix.set(prefixHash, [target, ...others].slice(0, maxTargets));
        for (const oldest of this.targetsByPrefix.keys()) {
            if (this.targetsByPrefix.size <= maxPrefixes) {
                return;
            }
            this.targetsByPrefix.delete(oldest);
        }
    }

    /** Records that a target no longer has a prefix cached. */
    remove(prefixHash: string, target: string): void {
        const remaining = (this.targetsByPrefix.get(prefixHash) ?? []).filter(other => other !== target);
        if (remaining.length === 0) {
            this.targetsByPrefix.delete(prefixHash);
        }
        else {
            this.targetsByPrefix.set(prefixHash, remaining);
        }
    }
}
