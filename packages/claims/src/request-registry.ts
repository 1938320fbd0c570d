import { OspreyError } from "@ospreyreel/errors";
import type { Counters } from "@ospreyreel/telemetry";
import { SharedResponse } from "./shared-response.js";

/** A request key, and the fingerprint that tells apart requests with the same key. */
export interface RequestIdentity {
    readonly team: string;
    readonly requestKey: string;
    /** Hash of path and body. */
    readonly fingerprint: string;
}

/** Options of {@link RequestRegistry}. */
export interface RequestRegistryOptions {
    readonly counters: Counters;
    /** How long a finished response is retained for a caller's retry; 60,000 by default. */
    readonly keepMs?: number;
    /** Maximum size of a retained response; 1 MiB by default. */
    readonly maxAnswerBytes?: number;
    /** Maximum total size of the retained responses and their entries; 32 MiB by default. */
    readonly maxRetainedBytes?: number;
    readonly now?: () => number;
}

/** Options of {@link RequestRegistry.add}. */
export interface AddOptions {
    /** Whether it is undecided that the request runs here, until {@link RequestRegistry.markRunning}; false by default. */
    readonly pending?: boolean;
}

interface Entry {
    readonly identity: RequestIdentity;
    readonly response: SharedResponse;
    pending: boolean;
    finishedAtMs: number | undefined;
}

const DEFAULT_KEEP_MS = 60_000;
const DEFAULT_MAX_ANSWER_BYTES = 1_048_576;
const DEFAULT_MAX_RETAINED_BYTES = 32 * 1_048_576;

/** Memory of a finished entry in addition to its response body. */
const ENTRY_OVERHEAD_BYTES = 1_024;

const getKey = (team: string, requestKey: string): string => `${team}\n${requestKey}`;

/** Requests that run here or finished recently, by key; a retry joins the response of the first request. */
export class RequestRegistry {
    private readonly entries = new Map<string, Entry>();
    private retainedBytes = 0;
    private runningCount = 0;

    constructor(private readonly opts: RequestRegistryOptions) {}

    /** Number of unfinished requests. */
    get running(): number {
        return this.runningCount;
    }

    /** Response of a key that is running or retained. Throws `keyReused` where the key belongs to another request. */
    find(identity: RequestIdentity): SharedResponse | undefined {
        this.evictOld();
        const entry = this.entries.get(getKey(identity.team, identity.requestKey));
        if (entry !== undefined && entry.identity.fingerprint !== identity.fingerprint) {
            throw new OspreyError("the idempotency key was used with a different request", { result: "keyReused" });
        }
        return entry?.response;
    }

    /** State of a key at this instance, for lookups by other instances. */
    getState(team: string, requestKey: string): "none" | "pending" | "running" | "finished" {
        this.evictOld();
        const entry = this.entries.get(getKey(team, requestKey));
        // A rejected or forwarded request does not run here, though its call has not ended.
        if (entry === undefined || entry.response.error !== undefined) {
            return "none";
        }
        if (entry.finishedAtMs !== undefined) {
            return "finished";
        }
        return entry.pending ? "pending" : "running";
    }

    /** Marks a pending request as running here. */
    markRunning(identity: RequestIdentity): void {
        const entry = this.entries.get(getKey(identity.team, identity.requestKey));
        if (entry !== undefined) {
            entry.pending = false;
        }
    }

    /** Registers a request; its key must not be registered yet. */
    add(identity: RequestIdentity, { pending = false }: AddOptions = {}): SharedResponse {
        const response = new SharedResponse(this.opts.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES);
        this.entries.set(getKey(identity.team, identity.requestKey), {
            identity,
            response,
            pending,
            finishedAtMs: undefined,
        });
        this.runningCount += 1;
        this.opts.counters.set("requests_running", this.running);
        return response;
    }

    /** Records the end of a request; a failed one is removed, so that a retry may run. */
    finish(identity: RequestIdentity): void {
        const key = getKey(identity.team, identity.requestKey);
        const entry = this.entries.get(key);
        if (entry === undefined || entry.finishedAtMs !== undefined) {
            return;
        }
        this.runningCount -= 1;
        if (!entry.response.isReadable) {
            this.entries.delete(key);
        }
        else {
            // Moved to the end, so that the oldest finished entry comes first.
            this.entries.delete(key);
            this.entries.set(key, entry);
            entry.finishedAtMs = this.now();
            this.retainedBytes += entry.response.bytes + ENTRY_OVERHEAD_BYTES;
        }
        this.opts.counters.set("requests_running", this.running);
        this.evictOld();
    }

    private now(): number {
        return (this.opts.now ?? Date.now)();
    }

    private evictOld(): void {
        const minFinishedAtMs = this.now() - (this.opts.keepMs ?? DEFAULT_KEEP_MS);
        const maxBytes = this.opts.maxRetainedBytes ?? DEFAULT_MAX_RETAINED_BYTES;
        for (const [key, entry] of this.entries) {
            if (entry.finishedAtMs === undefined) {
                continue;
            }
            if (entry.finishedAtMs >= minFinishedAtMs && this.retainedBytes <= maxBytes) {
                return;
            }
            this.retainedBytes -= entry.response.bytes + ENTRY_OVERHEAD_BYTES;
            this.entries.delete(key);
        }
    }
}
