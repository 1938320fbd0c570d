import type { KvEntry, KvHealth } from "@ospreyreel/kv";
import type { PeerChangesRequest, PeerChangesResponse, PeerKvEntry } from "@ospreyreel/types";
import { deflateValue } from "./deflated-value.js";
import type { SharedPrefix } from "./shared-prefix.js";

/** Options of {@link ChangeResponder}. */
export interface ChangeResponderOptions {
    readonly getPrefix: (prefix: string) => SharedPrefix;
    readonly health: KvHealth;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/**
 * Maximum age of the last direct read of a source that responds, in milliseconds: a wait, a pause and a slow response.
 */
const MAX_READ_AGE_MS = 1_500;

/**
 * Time after which a waiting source checks its state again, in milliseconds; its reads may have failed in the meantime.
 */
const RECHECK_MS = 400;

/** Responds to other instances' requests for changes. */
export class ChangeResponder {
    constructor(private readonly opts: ChangeResponderOptions) {}

    /** Returns changes as soon as there are any, or after the request's wait. */
    async respond(req: PeerChangesRequest): Promise<PeerChangesResponse> {
        const startedAtMs = this.opts.nowMs();
        const response = await this.awaitChanges(req);
        return { ...response, heldMs: this.opts.nowMs() - startedAtMs };
    }

    private async awaitChanges(req: PeerChangesRequest): Promise<PeerChangesResponse> {
        const { getPrefix, nowMs } = this.opts;
        const known = getPrefix(req.prefix);
        const endsAtMs = nowMs() + req.waitMs;
        for (;;) {
            const current = this.getCurrent(known, req);
            const leftMs = endsAtMs - nowMs();
            const hasChanges = current.kind === "stale" || current.isWhole
                || current.entries.length + current.removed.length > 0;
            if (hasChanges || leftMs <= 0) {
                return current;
            }
            await known.awaitRead(Math.min(leftMs, RECHECK_MS));
        }
    }

    private getCurrent(known: SharedPrefix, { after, acceptsDeflate }: PeerChangesRequest): PeerChangesResponse {
        const { health, nowMs } = this.opts;
        if (known.log.at === undefined || nowMs() - known.directReadAtMs > MAX_READ_AGE_MS) {
            return { kind: "stale" };
        }
        const awayMsAgo = Number.isFinite(health.msSinceUnavailable) ? health.msSinceUnavailable : undefined;
        const since = after === undefined ? undefined : known.log.getSince(after);
        if (since === undefined) {
            const { entries, at } = known.log.snapshot;
            const sent = entries.map(entry => deflateEntry(entry, acceptsDeflate));
            return { kind: "current", isWhole: true, entries: sent, at, removed: [], awayMsAgo };
        }
        const entries = since.changes.flatMap(change =>
            change.kind === "put" ? [deflateEntry(change.entry, acceptsDeflate)] : []
        );
        const removed = since.changes.flatMap(change =>
            change.kind === "delete" ? [{ key: change.key, revision: change.revision }] : []
        );
        return { kind: "current", isWhole: false, entries, removed, at: since.at, awayMsAgo };
    }
}

const deflateEntry = (entry: KvEntry, acceptsDeflate: boolean | undefined): PeerKvEntry => ({
    ...entry,
    ...deflateValue(entry.value, acceptsDeflate),
});
