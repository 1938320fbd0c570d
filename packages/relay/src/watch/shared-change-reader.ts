import { OspreyError } from "@ospreyreel/errors";
import { KvChangeReader, type KvChanges, type KvEntry, type KvHealth, type KvSnapshot } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { PeerChangesRequest, PeerChangesResponse, PeerKvEntry } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import type { IsIrrelevantUpdate } from "./change-log.js";
import { ChangeResponder } from "./change-responder.js";
import { inflateValue } from "./deflated-value.js";
import { SharedPrefix } from "./shared-prefix.js";
import type { ViewFreshness } from "./view-freshness.js";
import type { WatchSources } from "./watch-sources.js";

/** Options of {@link SharedChangeReader}. */
export interface SharedChangeReaderOptions {
    /** Reads directly from the KV service. */
    readonly own: KvChangeReader;
    readonly hub: Pick<PeerHub, "request" | "handle">;
    readonly sources: Pick<WatchSources, "choose" | "isShared" | "recordUnresponsive">;
    readonly health: KvHealth;
    readonly freshness: ViewFreshness;
    readonly log: RelayLog;
    readonly isIrrelevantUpdate: IsIrrelevantUpdate;
    /** Pause after a direct read that returned changes where each instance reads for itself, in milliseconds. */
    readonly getPauseMs: () => number;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/**
 * Maximum wait of a source's direct read, in milliseconds. A hanging connection delays all instances that query the
 * source, so it must be detected sooner than where each instance reads for itself.
 */
const SOURCE_WAIT_MS = 1_000;

/**
 * Pause of a source after a read that returned changes, in milliseconds; it delays the instances that query the source.
 */
const SOURCE_PAUSE_MS = 300;

/**
 * Pause between two direct reads of an instance whose source does not respond or cannot read the service, in milliseconds. After an
 * outage all instances read so until their sources have noticed its end.
 */
const BYPASS_PAUSE_MS = 1_000;

/** Wait for changes at a source, in milliseconds; together with the other limits it stays below two seconds. */
const PEER_WAIT_MS = 800;

/**
 * Time that a response may take beyond the wait before the service is read as well, in milliseconds: some round trips
 * and a busy processor.
 */
const PEER_MARGIN_MS = 250;

/**
 * Time for which a late response of a source is still used, in milliseconds; a peer that sends nothing at all is lost
 * sooner.
 */
const MAX_RESPONSE_DELAY_MS = 8_000;

/** Wait for changes at a source while responses arrive late, in milliseconds; the delay alone keeps requests rare. */
const DELAYED_PEER_WAIT_MS = 100;

type CurrentChanges = Extract<PeerChangesResponse, { readonly kind: "current"; }>;

/** A read of the KV service itself. */
interface DirectRead<T> {
    readonly kind: "service";
    readonly read: T;
}

const assertUsable = (response: CurrentChanges | undefined): CurrentChanges => {
    if (response === undefined) {
        throw new OspreyError("the source has no current response", { result: "peerUnavailable" });
    }
    return response;
};

/**
 * Reads changes of the KV service. In a large fleet only a few instances, the sources, read the service directly, and
 * all others read from a source. Where a source does not respond or cannot read the service, an instance reads it
 * directly.
 */
export class SharedChangeReader extends KvChangeReader {
    private readonly prefixes = new Map<string, SharedPrefix>();
    private readonly nowMs: () => number;

    constructor(private readonly opts: SharedChangeReaderOptions) {
        super();
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** Starts responding to other instances' requests for changes. */
    serve(): void {
        const { hub, health } = this.opts;
        const responder = new ChangeResponder({
            getPrefix: prefix => this.getPrefix(prefix),
            health,
            nowMs: this.nowMs,
        });
        hub.handle("kv.changes", req => responder.respond(req));
    }

    override async readAll(prefix: string): Promise<KvSnapshot> {
        const known = this.getPrefix(prefix);
        const source = this.opts.sources.choose();
        if (source === undefined) {
            return this.applySnapshot(known, await this.requestAllFromService(prefix));
        }
        const response = await this.requestFromSourceOrService(
            source,
            known,
            { prefix, after: undefined, waitMs: 0, acceptsDeflate: true },
            () => this.requestAllFromService(prefix),
        );
        if (response.kind === "service") {
            return this.applySnapshot(known, response.read);
        }
        known.log.replace({ entries: response.entries, at: response.at });
        return known.log.snapshot;
    }

    override async readChanges(prefix: string, after: number, waitMs: number): Promise<KvChanges | undefined> {
        const known = this.getPrefix(prefix);
        const source = this.opts.sources.choose();
        if (source === undefined) {
            return this.opts.sources.isShared
                ? await this.readDirectly(prefix, known, after, Math.min(waitMs, SOURCE_WAIT_MS), SOURCE_PAUSE_MS)
                : await this.readDirectly(prefix, known, after, waitMs);
        }
        if (!this.opts.health.isAvailable && this.opts.health.tryAcquireCall()) {
            // Only a direct call shows that the service is available again, and budgets depend on this knowledge. The
            // health records a failure.
            const own = await this.readDirectly(prefix, known, after, 0).catch(() => undefined);
            if (own !== undefined) {
                return own;
            }
        }
        const waitAtSourceMs = this.opts.freshness.isInputDelayed ? DELAYED_PEER_WAIT_MS : PEER_WAIT_MS;
        const req = { prefix, after, waitMs: waitAtSourceMs, acceptsDeflate: true };
        const response = await this.requestFromSourceOrService(
            source,
            known,
            req,
            () => this.requestFromService(prefix, known, after, 0, BYPASS_PAUSE_MS),
        );
        if (response.kind === "service") {
            return this.applyChanges(known, response.read);
        }
        if (response.isWhole) {
            // The revision is too old for the source to return individual changes.
            return undefined;
        }
        const { entries, removed, at } = response;
        return known.log.apply({
            changes: [
                ...removed.map(({ key, revision }) => ({ kind: "delete", key, revision }) as const),
                ...entries.map(entry => ({ kind: "put", entry }) as const),
            ],
            at,
        });
    }

    private getPrefix(prefix: string): SharedPrefix {
        const known = this.prefixes.get(prefix) ?? new SharedPrefix(this.opts.isIrrelevantUpdate);
        this.prefixes.set(prefix, known);
        return known;
    }

    private async readDirectly(
        prefix: string,
        known: SharedPrefix,
        after: number,
        waitMs: number,
        pauseMs = this.opts.getPauseMs(),
    ): Promise<KvChanges | undefined> {
        return this.applyChanges(known, await this.requestFromService(prefix, known, after, waitMs, pauseMs));
    }

    private async requestAllFromService(prefix: string): Promise<KvSnapshot> {
        const requestedAtMs = this.nowMs();
        const read = await this.opts.own.readAll(prefix);
        this.opts.freshness.recordResponse({ prefix, requestedAtMs, delayMs: 0 });
        return read;
    }

    private async requestFromService(
        prefix: string,
        known: SharedPrefix,
        after: number,
        waitMs: number,
        pauseMs: number,
    ): Promise<KvChanges | undefined> {
        await sleep(Math.max(0, known.nextReadAtMs - this.nowMs()));
        const requestedAtMs = this.nowMs();
        const read = await this.opts.own.readChanges(prefix, after, waitMs);
        if (read === undefined) {
            return undefined;
        }
        // The service does not tell how long it held the call, so that its delay is unknown.
        this.opts.freshness.recordResponse({ prefix, requestedAtMs, delayMs: 0 });
        if (read.changes.length > 0 || waitMs === 0) {
            known.nextReadAtMs = this.nowMs() + pauseMs;
        }
        return read;
    }

    private applySnapshot(known: SharedPrefix, read: KvSnapshot): KvSnapshot {
        known.log.replace(read);
        known.directReadAtMs = this.nowMs();
        known.notifyRead();
        return known.log.snapshot;
    }

    private applyChanges(known: SharedPrefix, read: KvChanges | undefined): KvChanges | undefined {
        if (read === undefined) {
            return undefined;
        }
        known.directReadAtMs = this.nowMs();
        const relevant = known.log.apply(read);
        if (relevant.changes.length > 0) {
            known.notifyRead();
        }
        return relevant;
    }

    /**
     * Queries a source, and the service as well where the source responds late; returns the first usable response.
     * Neither is applied here, so that the unused one cannot hide changes that were not returned.
     */
    private async requestFromSourceOrService<T>(
        source: string,
        known: SharedPrefix,
        req: PeerChangesRequest,
        readService: () => Promise<T>,
    ): Promise<CurrentChanges | DirectRead<T>> {
        const { freshness, log, sources } = this.opts;
        const response = this.requestFromSource(source, known, req);
        const dueMs = req.waitMs + PEER_MARGIN_MS + 2 * freshness.inputDelayMs;
        const inTime = await Promise.race([response, sleep(dueMs, "late" as const, { ref: false })]);
        if (inTime !== undefined && inTime !== "late") {
            return inTime;
        }
        const direct = readService().then((read): DirectRead<T> => ({ kind: "service", read }));
        if (inTime === undefined) {
            return await direct;
        }
        log.write("watch source silent", { source, prefix: req.prefix, dueMs: Math.round(dueMs) });
        sources.recordUnresponsive(source);
        return await Promise.any([direct, response.then(assertUsable)]);
    }

    /** Queries a source; undefined where it does not respond or is behind this instance. Does not throw. */
    private async requestFromSource(
        source: string,
        known: SharedPrefix,
        req: PeerChangesRequest,
    ): Promise<CurrentChanges | undefined> {
        const { hub, sources, health, log } = this.opts;
        const requestedAtMs = this.nowMs();
        try {
            const response = await hub.request(source, "kv.changes", req, req.waitMs + MAX_RESPONSE_DELAY_MS);
            this.recordResponse(response, req.prefix, requestedAtMs);
            if (response.kind === "stale" || response.at < (known.log.at ?? 0)) {
                return undefined;
            }
            if (response.awayMsAgo !== undefined) {
                health.recordRemoteOutage(response.awayMsAgo);
            }
            return { ...response, entries: response.entries.map(inflateEntry) };
        }
        catch (err) {
            // The caller then reads the service directly.
            log.write("watch source lost", { source, prefix: req.prefix, cause: String(err) });
            sources.recordUnresponsive(source);
            return undefined;
        }
    }

    private recordResponse(response: PeerChangesResponse, prefix: string, requestedAtMs: number): void {
        const tookMs = this.nowMs() - requestedAtMs;
        const delayMs = tookMs - (response.heldMs ?? tookMs);
        this.opts.freshness.recordResponse({ prefix, requestedAtMs, delayMs });
    }
}

const inflateEntry = (entry: PeerKvEntry): KvEntry => ({
    key: entry.key,
    value: inflateValue(entry),
    modRevision: entry.modRevision,
});
