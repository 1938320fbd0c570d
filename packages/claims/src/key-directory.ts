import type { KeyAnnouncementRequest } from "@ospreyreel/types";
import { createHash } from "node:crypto";

/** Options of {@link KeyDirectory}. */
export interface KeyDirectoryOptions {
    /** How long a key is retained after its last announcement; 180,000 by default, like streams of bills. */
    readonly keepMs?: number;
    /** Maximum number of keys; 200,000 by default. */
    readonly maxKeys?: number;
    readonly now?: () => number;
}

interface Entry {
    readonly runners: readonly string[];
    readonly atMs: number;
}

const DEFAULTS = { keepMs: 180_000, maxKeys: 200_000, now: Date.now };
/** Maximum number of incarnations stored for one key. */
const MAX_RUNNERS_PER_KEY = 16;

/** Hashes the key, so that a caller's long key takes no more memory than a short one. */
const getEntryKey = ({ team, requestKey }: KeyAnnouncementRequest): string =>
    createHash("sha256").update(team).update("\n").update(requestKey).digest("base64url");

/** Incarnations that accepted requests, by request key, for the keys of which this instance is a directory instance. */
export class KeyDirectory {
    private readonly opts: Required<KeyDirectoryOptions>;
    /** Ordered by last announcement, oldest first. */
    private readonly entries = new Map<string, Entry>();

    constructor(opts: KeyDirectoryOptions = {}) {
        this.opts = { ...DEFAULTS, ...opts };
    }

    /** Number of stored keys. */
    get size(): number {
        return this.entries.size;
    }

    /** Records the runner and returns the runners announced before it, oldest first. */
    announce(announcement: KeyAnnouncementRequest): readonly string[] {
        this.evictOld();
        const key = getEntryKey(announcement);
        const runnersBefore = this.entries.get(key)?.runners ?? [];
        const { runner } = announcement;
        const runners = runnersBefore.includes(runner)
            ? runnersBefore
            : [...runnersBefore, runner].slice(-MAX_RUNNERS_PER_KEY);
        this.entries.delete(key);
        this.entries.set(key, { runners, atMs: this.opts.now() });
        return runnersBefore.filter(other => other !== runner);
    }

    private evictOld(): void {
        const minAtMs = this.opts.now() - this.opts.keepMs;
        for (const [key, { atMs }] of this.entries) {
            if (atMs >= minAtMs && this.entries.size < this.opts.maxKeys) {
                return;
            }
            this.entries.delete(key);
        }
    }
}
