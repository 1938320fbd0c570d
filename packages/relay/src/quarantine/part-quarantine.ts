import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, PartAccusation, PartDecision } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";
import { getStartKey, type Target } from "../targets/target.js";
import type { PartEvidence } from "./accusation-table.js";
import type { CrashCheck } from "./crash-check.js";
import { DecisionBook } from "./decision-book.js";
import { DecisionSpreader } from "./decision-spreader.js";
import { PartCollector } from "./part-collector.js";
import { type BlockedPart, PartGate, type RequestLoss } from "./part-gate.js";
import { getQuarantineMs } from "./quarantine-table.js";
import { isWholeRequest, toBegunPart, type WatchedRequest } from "./watched-request.js";

/** Options of {@link PartQuarantine}. */
export interface PartQuarantineOptions {
    readonly hub: PeerHub;
    readonly crashes: CrashCheck;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Called for each new decision of this instance. */
    readonly onDecision?: (decision: PartDecision) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Returns a random number in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** Quarantine in the state dump. */
export interface QuarantineView {
    /** Parts whose requests are refused. */
    readonly parts: readonly PartDecision[];
    /** Number of parts for which this instance collects accusations. */
    readonly accusedParts: number;
}

interface Trial {
    readonly request: string;
    readonly endsAtMs: number;
}

const MAX_TRIALS = 256;

/** Time after which a trial without an outcome no longer excludes another one, in milliseconds. */
const TRIAL_TIMEOUT_MS = 5_000;

/** Retry-after time where a part is tried by another request, in seconds. */
const TRIAL_RETRY_AFTER_S = 1;

/** Timeout of a report to a collector, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;

/** Maximum number of remembered reports. */
const MAX_REPORTS = 2_048;

/** Largest number of peers that all inform an instance that joins; in a larger fleet two of them do. */
const MAX_INFORMING_PEERS = 16;

/** Size of a body up to which each answered request is remembered as a whole, in bytes; limits the work of hashing. */
const MAX_BODY_BYTES = 65_536;

/** Time for which larger ones are as well after one was suspected, in milliseconds; crashes are forgotten after it. */
const SUSPICION_TTL_MS = 600_000;

const MS_PER_S = 1_000;

const getReportKey = ({ part, crash }: PartAccusation): string => `${part} ${crash}`;

/**
 * Learns which prompt parts and which whole requests crash targets, together with all other instances, and refuses them.
 *
 * A request that is lost in a crash of its target accuses itself as a whole and its shared parts. What is lost before its answer
 * begins is refuted by an answer that begins; what is lost afterwards only by one that is whole. Two instances for each part collect
 * the accusations. Below, a part is one of a prompt or a whole request.
 */
export class PartQuarantine extends PartGate {
    private readonly book: DecisionBook;
    private readonly collector: PartCollector;
    private readonly collectors: ResponsibleInstances;
    private readonly spreader: DecisionSpreader;
    private readonly reports = new BoundedMap<Promise<number>>(MAX_REPORTS);
    private readonly trials = new BoundedMap<Trial>(MAX_TRIALS);
    private readonly nowMs: () => number;
    /** Monotonic time at which a whole request was last suspected, in milliseconds. */
    private suspectedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: PartQuarantineOptions) {
        super();
        const { hub, log, count, nowMs = () => performance.now(), random = Math.random, wait } = opts;
        this.nowMs = nowMs;
        this.book = new DecisionBook({ nowMs, log, count });
        this.collectors = new ResponsibleInstances({ hub, nowMs });
        this.spreader = new DecisionSpreader({ hub, book: this.book, onAnswered: part => this.refute(part) });
        this.collector = new PartCollector({
            hub,
            book: this.book,
            nowMs,
            log,
            random,
            quarantine: (part, evidence) => this.quarantine(part, evidence),
            extend: (part, evidence) => this.extend(part, evidence),
            ...(wait === undefined ? {} : { wait }),
        });
    }

    /** Starts responding to other instances. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("parts.accuse", async ({ accusations }) => ({ crashes: await this.collector.accuse(accusations) }));
        hub.handle("parts.answered", ({ parts }) => {
            this.suspect(parts);
            return Promise.resolve({ answered: this.book.findAnswered(parts) });
        });
        hub.handle(
            "parts.decide",
            ({ decisions }, from) => Promise.resolve({ answered: this.receive(decisions, from.instance) }),
        );
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "joined") {
                void this.informPeer(info);
            }
        });
    }

    /** Current state, for the state dump. */
    get view(): QuarantineView {
        return { parts: this.book.listActive(), accusedParts: this.collector.accusedParts };
    }

    /** Applies decisions from elsewhere; returns the answers that have begun since and speak against them. */
    receive(
        decisions: readonly PartDecision[],
        source: string,
    ): readonly { readonly part: string; readonly msAgo: number; }[] {
        const answered = decisions.map(decision => this.book.receive(decision, source));
        decisions.flatMap(({ part }) => this.book.listExplained(part).map(explained => ({ part, explained })))
            .filter(({ explained }) => this.collectors.isFirst(explained))
            .forEach(({ part, explained }) => this.clear(explained, `explained by ${part}`));
        return answered.filter(answer => answer !== undefined);
    }

    override getBlockedPart(watched: WatchedRequest): BlockedPart | undefined {
        if (this.book.table.isEmpty) {
            return undefined;
        }
        const nowMs = this.nowMs();
        const parts = [watched.whole, ...watched.sharedParts];
        for (const part of [...parts, ...parts.map(toBegunPart)]) {
            const phase = this.book.table.getPhase(part, nowMs);
            const untilMs = this.book.table.get(part, nowMs)?.untilMs ?? nowMs;
            if (phase === "quarantined") {
                return { part, retryAfterS: (untilMs - nowMs) / MS_PER_S };
            }
            if (phase === "trial" && !this.isTrial(part, watched.req.id)) {
                return { part, retryAfterS: TRIAL_RETRY_AFTER_S };
            }
        }
        return undefined;
    }

    override recordBegun(watched: WatchedRequest): void {
        this.recordAnswer(this.getRemembered(watched));
    }

    override recordWhole(watched: WatchedRequest): void {
        this.recordAnswer(this.getRemembered(watched).map(toBegunPart));
    }

    override async recordLoss(
        watched: WatchedRequest,
        target: Target,
        { ranMs, hasBegun }: RequestLoss,
    ): Promise<boolean> {
        const lostAtMs = this.nowMs();
        if (!await this.opts.crashes.hasCrashed(target)) {
            return true;
        }
        const toAccused = hasBegun ? toBegunPart : (part: string): string => part;
        const sharedParts = watched.sharedParts.map(toAccused);
        const whole = toAccused(watched.whole);
        const parts = [whole, ...sharedParts];
        this.suspect(parts);
        // A part that is known to crash targets explains the crash.
        const active = parts.filter(part => this.book.isActive(part));
        const accused = active.length > 0 ? active : parts;
        const crash = getStartKey(target);
        const crashes = await Promise.all(accused.map(part =>
            this.report({
                part,
                crash,
                msAgo: this.nowMs() - lostAtMs,
                ranMs,
                followers: isWholeRequest(part) ? 0 : sharedParts.length - 1 - sharedParts.indexOf(part),
            })
        ));
        // All streams at a crashing target break at once, those of sound requests with the same parts too.
        const decisive = hasBegun ? crashes.filter((_, at) => accused[at] === whole) : crashes;
        return active.length === 0 && decisive.every(count => count <= 1);
    }

    private recordAnswer(parts: readonly string[]): void {
        this.book.answers.record(parts, this.nowMs());
        if (!this.book.table.isEmpty) {
            parts.filter(part => this.book.isActive(part)).forEach(part => this.refute(part));
        }
    }

    private getRemembered(watched: WatchedRequest): readonly string[] {
        return [...(this.isWholeRemembered(watched) ? [watched.whole] : []), ...watched.sharedParts];
    }

    /** Whether an answer to the request is remembered for the request as a whole; large bodies only while one is suspected. */
    private isWholeRemembered({ req }: WatchedRequest): boolean {
        return req.body.length <= MAX_BODY_BYTES || this.nowMs() - this.suspectedAtMs < SUSPICION_TTL_MS;
    }

    private suspect(parts: readonly string[]): void {
        if (parts.some(part => isWholeRequest(part))) {
            this.suspectedAtMs = this.nowMs();
        }
    }

    /** Announces all decisions to an instance that has started or was out of reach. */
    private async informPeer({ incarnation, instance }: InstanceInfo): Promise<void> {
        const { hub } = this.opts;
        const decisions = this.book.listActive();
        const isSmallFleet = hub.peers().length <= MAX_INFORMING_PEERS;
        const self = hub.self().instance;
        if (
            decisions.length === 0
            || !(isSmallFleet || this.collectors.choose(instance).some(peer => peer.instance === self))
        ) {
            return;
        }
        try {
            const { answered } = await hub.request(incarnation, "parts.decide", { decisions }, REPORT_TIMEOUT_MS);
            answered.forEach(({ part }) => this.refute(part));
        }
        catch (err) {
            this.opts.log.write("peer not notified", { peer: instance, cause: String(err) });
        }
    }

    /** Reports an accusation to its collectors, once for each part and crash; returns the number of crashes. */
    private report(accusation: PartAccusation): Promise<number> {
        const key = getReportKey(accusation);
        const known = this.reports.get(key);
        if (known !== undefined) {
            return known;
        }
        this.opts.count("parts_accused");
        const report = this.reportOnce(accusation);
        this.reports.set(key, report);
        return report;
    }

    private async reportOnce(accusation: PartAccusation): Promise<number> {
        const { hub } = this.opts;
        const { part } = accusation;
        const self = hub.self().incarnation;
        const counts = await Promise.all(
            this.collectors.choose(accusation.part).map(async ({ incarnation, instance }) => {
                const accusations = [accusation];
                if (incarnation === self) {
                    return await this.collector.accuse(accusations);
                }
                try {
                    return (await hub.request(incarnation, "parts.accuse", { accusations }, REPORT_TIMEOUT_MS)).crashes;
                }
                catch (err) {
                    // The other collector may have it.
                    this.opts.log.write("crash not reported", { part, peer: instance, cause: String(err) });
                    return [];
                }
            }),
        );
        if (counts.flat().length === 0) {
            // The next lost request of the crash reports it again.
            this.reports.delete(getReportKey(accusation));
        }
        return Math.max(0, ...counts.flat());
    }

    private isTrial(part: string, request: string): boolean {
        const nowMs = this.nowMs();
        const running = this.trials.get(part);
        if (running !== undefined && nowMs < running.endsAtMs) {
            return running.request === request;
        }
        if (!this.collectors.isFirst(part)) {
            return false;
        }
        this.trials.set(part, { request, endsAtMs: nowMs + TRIAL_TIMEOUT_MS });
        this.opts.log.write("part tried", { part, request });
        return true;
    }

    private quarantine(part: string, { crashes, firstAtMs, followers }: PartEvidence): void {
        const nowMs = this.nowMs();
        const strikes = (this.book.table.get(part, nowMs)?.strikes ?? 0) + 1;
        const untilMs = nowMs + getQuarantineMs(part, strikes);
        const times = { changedAtMs: this.book.getNextChangeAtMs(part), untilMs, sinceMs: firstAtMs };
        const entry = { isCleared: false, strikes, crashes, followers, ...times };
        this.decide(part, entry, `${crashes.length} crashes`);
        this.book.listExplained(part).forEach(explained => this.clear(explained, `explained by ${part}`));
    }

    /**
     * Adds the crashes of requests that were in flight at the decision: they are explained by this part, and do not speak
     * against others.
     */
    private extend(part: string, { crashes }: PartEvidence): void {
        const entry = this.book.table.get(part, this.nowMs());
        if (entry === undefined || crashes.length <= entry.crashes.length) {
            return;
        }
        const changedAtMs = this.book.getNextChangeAtMs(part);
        this.decide(part, { ...entry, crashes, changedAtMs }, `${crashes.length} crashes`);
        this.book.listExplained(part).forEach(explained => this.clear(explained, `explained by ${part}`));
    }

    /** Ends the quarantine of a part for which an answer has begun. */
    private refute(part: string): void {
        this.collector.clear(part);
        this.clear(part, "answer");
    }

    private clear(part: string, source: string): void {
        const nowMs = this.nowMs();
        if (this.book.isActive(part)) {
            const times = { changedAtMs: this.book.getNextChangeAtMs(part), untilMs: nowMs, sinceMs: nowMs };
            const entry = { isCleared: true, strikes: 0, crashes: [], followers: 0, ...times };
            this.decide(part, entry, source);
        }
    }

    private decide(part: string, entry: Parameters<DecisionBook["apply"]>[1], source: string): void {
        if (!this.book.apply(part, entry, source)) {
            return;
        }
        const decision = this.book.getDecision(part);
        if (decision !== undefined) {
            this.opts.onDecision?.(decision);
        }
        void this.spreader.spread(part);
    }
}
