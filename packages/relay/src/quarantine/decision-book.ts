import type { AnsweredPart, PartDecision } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import { AnswerMemory } from "./answer-memory.js";
import { type QuarantineEntry, QuarantineTable } from "./quarantine-table.js";
import { isWholeRequest } from "./watched-request.js";

/** Smallest time between two decisions about one part, in milliseconds. */
const MIN_CHANGE_GAP_MS = 1;

const explains = (by: string, explaining: QuarantineEntry, part: string, entry: QuarantineEntry): boolean => {
    const isSubset = entry.crashes.length > 0 && entry.crashes.every(crash => explaining.crashes.includes(crash));
    if (!isSubset || entry.crashes.length < explaining.crashes.length) {
        return isSubset;
    }
    if (isWholeRequest(by) !== isWholeRequest(part)) {
        return isWholeRequest(by);
    }
    return entry.followers > explaining.followers || (entry.followers === explaining.followers && part < by);
};

/** Options of {@link DecisionBook}. */
export interface DecisionBookOptions {
    readonly nowMs: () => number;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Decisions about prompt parts and the answers that speak against them, as known to this instance. */
export class DecisionBook {
    readonly answers = new AnswerMemory();
    readonly table = new QuarantineTable();

    constructor(private readonly opts: DecisionBookOptions) {}

    /** Applies a decision of this instance. */
    apply(part: string, entry: QuarantineEntry, source: string): boolean {
        const wasActive = this.isActive(part);
        if (!this.table.apply(part, entry)) {
            return false;
        }
        const { log, count, nowMs } = this.opts;
        if (!entry.isCleared && !wasActive) {
            count("parts_quarantined");
        }
        if (!entry.isCleared) {
            const leftMs = Math.round(entry.untilMs - nowMs());
            log.write("part quarantined", { part, source, leftMs, strikes: entry.strikes });
        }
        else if (wasActive) {
            count("parts_cleared");
            log.write("part cleared", { part, source });
        }
        return true;
    }

    /**
     * Applies another instance's decision, unless an answer with the part has begun here since the first crash; then
     * returns that answer.
     */
    receive(decision: PartDecision, source: string): AnsweredPart | undefined {
        const nowMs = this.opts.nowMs();
        const { part, isCleared, msAgo, leftMs, strikes, sinceMsAgo, crashes, followers } = decision;
        const begunAtMs = this.answers.getBegunAtMs(part);
        if (!isCleared && begunAtMs !== undefined && begunAtMs >= nowMs - sinceMsAgo) {
            return { part, msAgo: nowMs - begunAtMs };
        }
        if (this.isKnown(decision)) {
            return undefined;
        }
        const times = { changedAtMs: nowMs - msAgo, untilMs: nowMs + leftMs, sinceMs: nowMs - sinceMsAgo };
        this.apply(part, { isCleared, strikes, crashes, followers, ...times }, source);
        return undefined;
    }

    /** Whether a quarantine is in force here already; its times differ by the delay of each message. */
    private isKnown({ part, isCleared, strikes, crashes }: PartDecision): boolean {
        const known = this.table.get(part, this.opts.nowMs());
        return !isCleared && known !== undefined && this.isActive(part) && known.strikes === strikes
            && known.crashes.length >= crashes.length;
    }

    /** The last decision about a part, as other instances receive it. */
    getDecision(part: string): PartDecision | undefined {
        const nowMs = this.opts.nowMs();
        const entry = this.table.get(part, nowMs);
        return entry === undefined ? undefined : {
            part,
            isCleared: entry.isCleared,
            msAgo: nowMs - entry.changedAtMs,
            leftMs: entry.untilMs - nowMs,
            strikes: entry.strikes,
            sinceMsAgo: nowMs - entry.sinceMs,
            crashes: entry.crashes,
            followers: entry.followers,
        };
    }

    /** Time of the last decision about a part, in milliseconds; undefined where there is none. */
    getChangedAtMs(part: string): number | undefined {
        return this.table.get(part, this.opts.nowMs())?.changedAtMs;
    }

    /** Time for the next decision about a part, in milliseconds: now, and later than the last one. */
    getNextChangeAtMs(part: string): number {
        const lastAtMs = this.getChangedAtMs(part) ?? Number.NEGATIVE_INFINITY;
        return Math.max(this.opts.nowMs(), lastAtMs + MIN_CHANGE_GAP_MS);
    }

    /** Decisions by which requests are refused. */
    listActive(): readonly PartDecision[] {
        return this.table.listActive(this.opts.nowMs()).map(([part]) => this.getDecision(part))
            .filter(decision => decision !== undefined);
    }

    /**
     * Whether a part under quarantine explains a crash that speaks against another part: it was in flight as well, and in
     * no fewer crashes than the other one.
     */
    isExplained(part: string, crash: string, crashCount: number): boolean {
        return this.table.listActive(this.opts.nowMs()).some(([other, { crashes }]) =>
            other !== part && crashes.length >= crashCount && crashes.includes(crash) && this.mayExplain(other, part)
        );
    }

    /**
     * Whether the crashes of one part may be all that speaks against another one. A request that came again and again is not
     * to hide a deadly part of its prompt: a sound part has had answers before.
     */
    private mayExplain(by: string, part: string): boolean {
        return !isWholeRequest(by) || isWholeRequest(part) || this.answers.getBegunAtMs(part) !== undefined;
    }

    /**
     * Parts under quarantine that another one explains: it was in all of their crashes, and in more. Of two parts with the
     * same crashes the one that more requests share is released, and a whole request is shared by none; if the released one
     * crashes targets, its next crash tells.
     */
    listExplained(by: string): readonly string[] {
        const active = this.table.listActive(this.opts.nowMs());
        const explaining = active.find(([part]) => part === by)?.[1];
        return explaining === undefined ? [] : active
            .filter(([part, entry]) =>
                part !== by && explains(by, explaining, part, entry) && this.mayExplain(by, part)
            )
            .map(([part]) => part);
    }

    /** Whether requests with a part are refused. */
    isActive(part: string): boolean {
        return this.table.getPhase(part, this.opts.nowMs()) !== "none";
    }

    /** The answers that have begun for some parts. */
    findAnswered(parts: readonly string[]): readonly AnsweredPart[] {
        const nowMs = this.opts.nowMs();
        return parts.flatMap(part => {
            const begunAtMs = this.answers.getBegunAtMs(part);
            return begunAtMs === undefined ? [] : [{ part, msAgo: nowMs - begunAtMs }];
        });
    }
}
