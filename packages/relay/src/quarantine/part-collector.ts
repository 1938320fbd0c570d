import type { PeerHub } from "@ospreyreel/peer";
import type { PartAccusation } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import { AccusationTable, type PartEvidence } from "./accusation-table.js";
import type { DecisionBook } from "./decision-book.js";
import { isBegunPart, isWholeRequest } from "./watched-request.js";

/** Options of {@link PartCollector}. */
export interface PartCollectorOptions {
    readonly hub: Pick<PeerHub, "request" | "peers">;
    readonly book: DecisionBook;
    readonly nowMs: () => number;
    readonly log: RelayLog;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** Quarantines a part by its evidence. */
    readonly quarantine: (part: string, evidence: PartEvidence) => void;
    /** Adds later crashes to the quarantine in force of a part. */
    readonly extend: (part: string, evidence: PartEvidence) => void;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** Number of separate crashes from which other instances are asked for answers with the part. */
const CRASHES_TO_ASK = 2;

/** Number of separate crashes that quarantine a part for which no answer has begun since the first of them. */
const CRASHES_TO_QUARANTINE = 3;

/** Maximum number of peers that are asked for answers; in a large fleet a random sample. */
const MAX_ASKED_PEERS = 64;

/** Timeout of one question, in milliseconds. */
const ASK_TIMEOUT_MS = 150;

/** Number of crashes from which a part need not wait for others that may have been in more of them. */
const SURE_CRASHES = 5;

/** Time for which a part that was in fewer crashes waits, in milliseconds. */
const DOUBT_WAIT_MS = 100;

/**
 * The same time for a whole request, in milliseconds. It is decided before the parts of its prompt, and then explains
 * their crashes.
 */
const REQUEST_DOUBT_WAIT_MS = 50;

/**
 * Time for which a part waits for each part that follows it in the prompt, in milliseconds. A part that fewer requests
 * share is decided first, and then explains the crashes that speak against the parts before it.
 */
const WAIT_PER_FOLLOWER_MS = 150;

/** Maximum wait for the parts that follow, in milliseconds; a long conversation has many. */
const MAX_FOLLOWER_WAIT_MS = 1_000;

/**
 * Time for which what is accused of crashes after the first event waits, in milliseconds. All streams at a crashing target break at
 * once, and sound ones need the time of a whole answer, elsewhere or at the target that is back, to be told apart.
 */
const BEGUN_DOUBT_WAIT_MS = 2_000;

/** Collects the accusations of parts from all instances, and quarantines parts that crash targets. */
export class PartCollector {
    private readonly table = new AccusationTable();
    private readonly asking = new Map<string, Promise<void>>();
    private readonly deciding = new Set<string>();
    private readonly wait: (ms: number) => Promise<void>;

    constructor(private readonly opts: PartCollectorOptions) {
        this.wait = opts.wait ?? (ms => sleep(ms, undefined, { ref: false }));
    }

    /** Number of accused parts. */
    get accusedParts(): number {
        return this.table.size;
    }

    /** Adds accusations; returns how many separate crashes speak against each of the parts. */
    async accuse(accusations: readonly PartAccusation[]): Promise<readonly number[]> {
        const { book, nowMs } = this.opts;
        const added = accusations.filter(({ part, crash, msAgo, ranMs, followers }) => {
            const atMs = nowMs() - msAgo;
            return this.table.add(part, { crash, atMs, sentAtMs: atMs - ranMs, followers });
        });
        await this.removeRefuted(accusations.map(({ part }) => part), added.map(({ part }) => part));
        for (const part of new Set(added.map(accusation => accusation.part))) {
            const isTrial = book.table.getPhase(part, nowMs()) === "trial";
            const evidence = this.getEvidence(part);
            if (isTrial && evidence.separateCrashes > 0) {
                this.opts.quarantine(part, evidence);
            }
            else if (book.isActive(part)) {
                this.opts.extend(part, evidence);
            }
            else if (evidence.separateCrashes >= CRASHES_TO_QUARANTINE) {
                void this.decide(part);
            }
        }
        return accusations.map(({ part }) => this.getEvidence(part).separateCrashes);
    }

    /** Forgets the crashes that speak against a part; an answer with it has begun. */
    clear(part: string): void {
        this.table.removeUntil(part, this.opts.nowMs());
    }

    private async decide(part: string): Promise<void> {
        if (this.deciding.has(part)) {
            return;
        }
        this.deciding.add(part);
        try {
            const { crashes, followers } = this.getEvidence(part);
            const followerWaitMs = Math.min(MAX_FOLLOWER_WAIT_MS, followers * WAIT_PER_FOLLOWER_MS);
            const doubtWaitMs = isWholeRequest(part) ? REQUEST_DOUBT_WAIT_MS : DOUBT_WAIT_MS;
            const begunWaitMs = isBegunPart(part) ? BEGUN_DOUBT_WAIT_MS : 0;
            const waitMs = begunWaitMs + followerWaitMs + (crashes.length < SURE_CRASHES ? doubtWaitMs : 0);
            if (waitMs > 0) {
                await this.wait(waitMs);
                await this.removeRefuted([part], [part]);
            }
            const evidence = this.getEvidence(part);
            if (evidence.separateCrashes >= CRASHES_TO_QUARANTINE && !this.opts.book.isActive(part)) {
                this.opts.quarantine(part, evidence);
            }
        }
        finally {
            this.deciding.delete(part);
        }
    }

    /** Removes crashes before the last answer with the part, as known here and, for suspected parts, at other instances. */
    private async removeRefuted(parts: readonly string[], accused: readonly string[]): Promise<void> {
        const { book, nowMs } = this.opts;
        book.findAnswered(parts).forEach(({ part, msAgo }) => this.table.removeUntil(part, nowMs() - msAgo));
        const suspected = [...new Set(accused)].filter(part =>
            this.getEvidence(part).separateCrashes >= CRASHES_TO_ASK
        );
        if (suspected.length > 0) {
            const asked = this.ask(suspected);
            suspected.forEach(part => this.asking.set(part, asked));
            await asked;
            suspected.filter(part => this.asking.get(part) === asked).forEach(part => this.asking.delete(part));
            this.logSuspected(suspected);
        }
        await Promise.all(parts.map(part => this.asking.get(part) ?? Promise.resolve()));
    }

    private async ask(parts: readonly string[]): Promise<void> {
        const { hub, book, nowMs, random, log } = this.opts;
        const peers = hub.peers().map(({ incarnation, instance }) => ({ incarnation, instance, at: random() }))
            .toSorted((a, b) => a.at - b.at)
            .slice(0, MAX_ASKED_PEERS);
        await Promise.all(peers.map(async ({ incarnation, instance }) => {
            try {
                const { answered } = await hub.request(incarnation, "parts.answered", { parts }, ASK_TIMEOUT_MS);
                for (const { part, msAgo } of answered) {
                    book.answers.record([part], nowMs() - msAgo);
                    this.table.removeUntil(part, nowMs() - msAgo);
                }
            }
            catch (err) {
                // The answers of the other peers count.
                log.write("peer not asked for answers", { peer: instance, cause: String(err) });
            }
        }));
    }

    private getEvidence(part: string): PartEvidence {
        const { book } = this.opts;
        return this.table.getEvidence(part, (crash, crashCount) => book.isExplained(part, crash, crashCount));
    }

    private logSuspected(parts: readonly string[]): void {
        for (const part of parts) {
            const { separateCrashes, crashes } = this.getEvidence(part);
            if (separateCrashes >= CRASHES_TO_ASK) {
                this.opts.log.write("part suspected", { part, crashes: crashes.length });
            }
        }
    }
}
