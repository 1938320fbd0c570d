import { OspreyError } from "@ospreyreel/errors";
import type { Counters } from "@ospreyreel/telemetry";
import { Answer } from "./answer.js";

/** A request key with what tells its request from another. */
export interface RequestIdentity {
    readonly team: string;
    readonly requestKey: string;
    /** Hash of path and body. */
    readonly fingerprint: string;
}

/** Options of a registry. */
export interface RequestRegistryOptions {
    readonly counters: Counters;
    /** How long a finished answer is kept for a caller's retry; 60,000 by default. */
    readonly keepMs?: number;
    /** Largest answer kept; 1 MiB by default. */
    readonly maxAnswerBytes?: number;
    /** Largest sum of finished answers kept, each with its entry; 32 MiB by default. */
    readonly maxKeptBytes?: number;
    readonly now?: () => number;
}

/** How a request is registered. */
export interface AddOptions {
    /** Whether it is still open if the request runs here, until {@link RequestRegistry.noteRuns}; false by default. */
    readonly pending?: boolean;
}

interface Entry {
    readonly identity: RequestIdentity;
    readonly answer: Answer;
    pending: boolean;
    finishedAtMs: number | undefined;
}

const DEFAULT_KEEP_MS = 60_000;
const DEFAULT_MAX_ANSWER_BYTES = 1_048_576;
const DEFAULT_MAX_KEPT_BYTES = 32 * 1_048_576;

/** Memory of a finished entry beside its answer's bytes. */
const ENTRY_BYTES = 1_024;

const getKey = (team: string, requestKey: string): string => `${team}\n${requestKey}`;

/** Requests that run here or finished a while ago, by key; a retry joins the answer of the first. */
export class RequestRegistry {
    private readonly entries = new Map<string, Entry>();
    private keptBytes = 0;
    private runningCount = 0;

    constructor(private readonly opts: RequestRegistryOptions) {}

    /** Requests that have not finished. */
    get running(): number {
        return this.runningCount;
    }

    /** The answer of a key, if it runs or is kept. Throws `keyReused` where the key belongs to another request. */
    find(identity: RequestIdentity): Answer | undefined {
        this.forgetOld();
        const entry = this.entries.get(getKey(identity.team, identity.requestKey));
        if (entry !== undefined && entry.identity.fingerprint !== identity.fingerprint) {
            throw new OspreyError("the idempotency key was used with a different request", { result: "keyReused" });
        }
        return entry?.answer;
    }

    /** What is known of a key, for other instances. */
    getState(team: string, requestKey: string): "none" | "pending" | "running" | "finished" {
        this.forgetOld();
        const entry = this.entries.get(getKey(team, requestKey));
        // What was refused or passed on does not run here, though its call has not ended.
        if (entry === undefined || entry.answer.error !== undefined) {
            return "none";
        }
        if (entry.finishedAtMs !== undefined) {
            return "finished";
        }
        return entry.pending ? "pending" : "running";
    }

    /** Notes that a request which was pending runs here. */
    noteRuns(identity: RequestIdentity): void {
        const entry = this.entries.get(getKey(identity.team, identity.requestKey));
        if (entry !== undefined) {
            entry.pending = false;
        }
    }

    /** Registers a request; the key must not be registered. */
    add(identity: RequestIdentity, { pending = false }: AddOptions = {}): Answer {
        const answer = new Answer(this.opts.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES);
        this.entries.set(getKey(identity.team, identity.requestKey), {
            identity,
            answer,
            pending,
            finishedAtMs: undefined,
        });
        this.runningCount += 1;
        this.opts.counters.set("requests_running", this.running);
        return answer;
    }

    /** Notes the end of a request; one that failed is forgotten so that a retry may run. */
    finish(identity: RequestIdentity): void {
        const key = getKey(identity.team, identity.requestKey);
        const entry = this.entries.get(key);
        if (entry === undefined || entry.finishedAtMs !== undefined) {
            return;
        }
        this.runningCount -= 1;
        if (!entry.answer.readable) {
            this.entries.delete(key);
        }
        else {
            // Moved to the end, so that the oldest finished entry comes first.
            this.entries.delete(key);
            this.entries.set(key, entry);
            entry.finishedAtMs = this.now();
            this.keptBytes += entry.answer.bytes + ENTRY_BYTES;
        }
        this.opts.counters.set("requests_running", this.running);
        this.forgetOld();
    }

    private now(): number {
        return (this.opts.now ?? Date.now)();
    }

    private forgetOld(): void {
        const horizon = this.now() - (this.opts.keepMs ?? DEFAULT_KEEP_MS);
        const maxBytes = this.opts.maxKeptBytes ?? DEFAULT_MAX_KEPT_BYTES;
        for (const [key, entry] of this.entries) {
            if (entry.finishedAtMs === undefined) {
                continue;
            }
            if (entry.finishedAtMs >= horizon && this.keptBytes <= maxBytes) {
                return;
            }
            this.keptBytes -= entry.answer.bytes + ENTRY_BYTES;
            this.entries.delete(key);
        }
    }
}
