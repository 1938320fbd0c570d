import { KvChangeReader, type KvChanges, type KvHealth, type KvSnapshot } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { PeerChangesAnswer, PeerChangesRequest } from "@ospreyreel/types";
import { EventEmitter } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import { ChangeLog, type IsNoise } from "./change-log.js";
import type { WatchSources } from "./watch-sources.js";

/** What a shared reader needs. */
export interface SharedChangeReaderOptions {
    /** Reads the KV service itself. */
    readonly own: KvChangeReader;
    readonly hub: Pick<PeerHub, "request" | "handle">;
    readonly sources: Pick<WatchSources, "choose" | "isShared" | "noteSilent">;
    readonly health: KvHealth;
    readonly log: RelayLog;
    readonly isNoise: IsNoise;
    /** Time to wait after own reads that brought changes where each instance reads for itself, in milliseconds. */
    readonly getPauseMs: () => number;
    /** Monotonic time in milliseconds; the process's by default. */
    readonly nowMs?: () => number;
}

/**
 * Longest wait of a source's own read, in milliseconds. A connection that fell silent blinds all that ask the source,
 * so that it is noticed sooner than where each reads for itself.
 */
const SOURCE_WAIT_MS = 1_000;

/** Time between two own reads of a source that bring changes, in milliseconds; its askers hear of them that much later. */
const SOURCE_PAUSE_MS = 300;

/** Age of the last own read up to which a source answers, in milliseconds: one wait, a pause and a slow answer. */
const FRESH_MS = 1_500;

/** Wait for changes at a source, in milliseconds; with it, what the other bounds add up to stays under two seconds. */
const PEER_WAIT_MS = 800;

/** How much longer than its wait an answer may take, in milliseconds; some round trips and a busy processor. */
const PEER_MARGIN_MS = 250;

/** A source's wait is looked at again after this time, in milliseconds, as its own reads may have failed meanwhile. */
const RECHECK_MS = 400;

/** One prefix as this instance knows it. */
class SharedPrefix {
    readonly log: ChangeLog;
    readonly news = new EventEmitter().setMaxListeners(0);
    /** When the KV service itself answered last. */
    ownReadAtMs = Number.NEGATIVE_INFINITY;
    /** Before this time the KV service is not read again, so that many changes come together. */
    nextReadAtMs = Number.NEGATIVE_INFINITY;

    constructor(isNoise: IsNoise) {
        this.log = new ChangeLog(isNoise);
    }
}

/**
 * Reads changes from the KV service at a few instances of a large fleet, and at all others from one of these. Where a
 * source does not answer, or cannot read the service itself, an instance reads for itself.
 */
export class SharedChangeReader extends KvChangeReader {
    private readonly prefixes = new Map<string, SharedPrefix>();
    private readonly nowMs: () => number;

    constructor(private readonly opts: SharedChangeReaderOptions) {
        super();
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** Answers instances that ask for changes. */
    serve(): void {
        this.opts.hub.handle("kv.changes", req => this.answer(req));
    }

    override async readAll(prefix: string): Promise<KvSnapshot> {
        const known = this.getPrefix(prefix);
        const source = this.opts.sources.choose();
        const answer = source === undefined
            ? undefined
            : await this.ask(source, known, { prefix, after: undefined, waitMs: 0 });
        if (answer?.kind === "current" && answer.isWhole) {
            known.log.replace({ entries: answer.entries, at: answer.at });
            return known.log.snapshot;
        }
        return await this.readAllItself(prefix, known);
    }

    override async readChanges(prefix: string, after: number, waitMs: number): Promise<KvChanges | undefined> {
        const known = this.getPrefix(prefix);
        const source = this.opts.sources.choose();
        if (source === undefined) {
            return this.opts.sources.isShared
                ? await this.readItself(prefix, known, after, Math.min(waitMs, SOURCE_WAIT_MS), SOURCE_PAUSE_MS)
                : await this.readItself(prefix, known, after, waitMs);
        }
        if (!this.opts.health.isAvailable && this.opts.health.mayCall()) {
            // Only a call of its own shows that the service is back, and budgets depend on knowing. That it failed is noted
            // in the health.
            const own = await this.readItself(prefix, known, after, 0).catch(() => undefined);
            if (own !== undefined) {
                return own;
            }
        }
        const answer = await this.ask(source, known, { prefix, after, waitMs: PEER_WAIT_MS });
        if (answer?.kind !== "current") {
            return await this.readItself(prefix, known, after, 0);
        }
        if (answer.isWhole) {
            // What this instance knows is older than what the source can tell one by one.
            return undefined;
        }
        const { entries, removed, at } = answer;
        return known.log.apply({
            changes: [
                ...removed.map(({ key, revision }) => ({ kind: "delete", key, revision }) as const),
                ...entries.map(entry => ({ kind: "put", entry }) as const),
            ],
            at,
        });
    }

    private getPrefix(prefix: string): SharedPrefix {
        const known = this.prefixes.get(prefix) ?? new SharedPrefix(this.opts.isNoise);
        this.prefixes.set(prefix, known);
        return known;
    }

    private async readAllItself(prefix: string, known: SharedPrefix): Promise<KvSnapshot> {
        known.log.replace(await this.opts.own.readAll(prefix));
        known.ownReadAtMs = this.nowMs();
        known.news.emit("read");
        return known.log.snapshot;
    }

    private async readItself(
        prefix: string,
        known: SharedPrefix,
        after: number,
        waitMs: number,
        pauseMs = this.opts.getPauseMs(),
    ): Promise<KvChanges | undefined> {
        await sleep(Math.max(0, known.nextReadAtMs - this.nowMs()));
        const read = await this.opts.own.readChanges(prefix, after, waitMs);
        if (read === undefined) {
            return undefined;
        }
        known.ownReadAtMs = this.nowMs();
        const told = known.log.apply(read);
        if (told.changes.length > 0) {
            known.news.emit("read");
        }
        if (read.changes.length > 0 || waitMs === 0) {
            known.nextReadAtMs = this.nowMs() + pauseMs;
        }
        return told;
    }

    /** Asks a source; undefined where it does not answer, or knows less than this instance. */
    private async ask(
        source: string,
        known: SharedPrefix,
        req: PeerChangesRequest,
    ): Promise<PeerChangesAnswer | undefined> {
        const { hub, sources, health, log } = this.opts;
        try {
            const answer = await hub.request(source, "kv.changes", req, req.waitMs + PEER_MARGIN_MS);
            if (answer.kind === "stale" || answer.at < (known.log.at ?? 0)) {
                return undefined;
            }
            if (answer.awayMsAgo !== undefined) {
                health.noteAwayElsewhere(answer.awayMsAgo);
            }
            return answer;
        }
        catch (err) {
            // The caller reads the service itself then.
            log.write("watch source silent", { source, prefix: req.prefix, cause: String(err) });
            sources.noteSilent(source);
            return undefined;
        }
    }

    private async answer(req: PeerChangesRequest): Promise<PeerChangesAnswer> {
        const known = this.getPrefix(req.prefix);
        const endsAtMs = this.nowMs() + req.waitMs;
        for (;;) {
            const current = this.getCurrent(known, req);
            const leftMs = endsAtMs - this.nowMs();
            const hasNews = current.kind === "stale" || current.isWhole
                || current.entries.length + current.removed.length > 0;
            if (hasNews || leftMs <= 0) {
                return current;
            }
            await waitForRead(known, Math.min(leftMs, RECHECK_MS));
        }
    }

    private getCurrent(known: SharedPrefix, { after }: PeerChangesRequest): PeerChangesAnswer {
        const { health } = this.opts;
        if (known.log.at === undefined || this.nowMs() - known.ownReadAtMs > FRESH_MS) {
            return { kind: "stale" };
        }
        const awayMsAgo = Number.isFinite(health.sinceAwayMs) ? health.sinceAwayMs : undefined;
        const since = after === undefined ? undefined : known.log.getSince(after);
        if (since === undefined) {
            return { kind: "current", isWhole: true, ...known.log.snapshot, removed: [], awayMsAgo };
        }
        const entries = since.changes.flatMap(change => change.kind === "put" ? [change.entry] : []);
        const removed = since.changes.flatMap(change =>
            change.kind === "delete" ? [{ key: change.key, revision: change.revision }] : []
        );
        return { kind: "current", isWhole: false, entries, removed, at: since.at, awayMsAgo };
    }
}

/** Resolves when a read brought something, or after a time. */
const waitForRead = (known: SharedPrefix, ms: number): Promise<void> =>
    new Promise(resolve => {
        const end = (): void => {
            clearTimeout(timer);
            known.news.off("read", end);
            resolve();
        };
        const timer = setTimeout(end, ms);
        known.news.once("read", end);
    });
