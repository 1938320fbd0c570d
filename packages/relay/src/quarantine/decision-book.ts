import type { AnsweredPart, PartDecision } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import { AnswerMemory } from "./answer-memory.js";
import { type QuarantineEntry, QuarantineTable } from "./quarantine-table.js";

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
        const { part, isCleared, msAgo, leftMs, strikes, sinceMsAgo } = decision;
        const begunAtMs = this.answers.getBegunAtMs(part);
        if (!isCleared && begunAtMs !== undefined && begunAtMs >= nowMs - sinceMsAgo) {
            return { part, msAgo: nowMs - begunAtMs };
        }
        const times = { changedAtMs: nowMs - msAgo, untilMs: nowMs + leftMs, sinceMs: nowMs - sinceMsAgo };
        this.apply(part, { isCleared, strikes, ...times }, source);
        return undefined;
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
        };
    }

    /** Time of the last decision about a part, in milliseconds; undefined where there is none. */
    getChangedAtMs(part: string): number | undefined {
        return this.table.get(part, this.opts.nowMs())?.changedAtMs;
    }

    /** Decisions by which requests are refused. */
    listActive(): readonly PartDecision[] {
        return this.table.listActive(this.opts.nowMs()).map(([part]) => this.getDecision(part))
            .filter(decision => decision !== undefined);
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
