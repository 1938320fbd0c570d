import { EventEmitter, once } from "node:events";
import type { RelayDocument } from "./relay-document.js";
import { RouteTable } from "./route-table.js";

/** Options of {@link DocumentHolder}. */
export interface DocumentHolderOptions {
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Time for which a replaced state is kept for instances that do not have the newer one yet, in milliseconds. */
    readonly replacedTtlMs?: number;
}

const REPLACED_TTL_MS = 10_000;

/** Maximum number of replaced states that are kept; they are large where there are many routes. */
const MAX_REPLACED = 3;

interface ReplacedTable {
    readonly table: RouteTable;
    readonly untilMs: number;
}

/** Holds the newest desired state that this process has seen; an older one never replaces it. */
export class DocumentHolder {
    private readonly events = new EventEmitter().setMaxListeners(0);
    private table: RouteTable | undefined;
    private encodedBytes: Uint8Array | undefined;
    private replaced: readonly ReplacedTable[] = [];
    private readonly nowMs: () => number;
    private readonly replacedTtlMs: number;

    constructor(
        { nowMs = () => performance.now(), replacedTtlMs = REPLACED_TTL_MS }: DocumentHolderOptions = {},
    ) {
        this.nowMs = nowMs;
        this.replacedTtlMs = replacedTtlMs;
    }

    /** The active state; undefined before the first one. */
    current(): RouteTable | undefined {
        return this.table;
    }

    /** The oldest state from a version on that is kept, for requests that come through an instance with that version. */
    findOldest(fromVersion: number): RouteTable | undefined {
        this.dropExpired();
        return this.replaced.find(({ table }) => table.document.version >= fromVersion)?.table ?? this.table;
    }

    /** Versions of the replaced states that are still in memory, the oldest one first. */
    get replacedVersions(): readonly number[] {
        return this.replaced.map(({ table }) => table.document.version);
    }

    /** Version of the active state; 0 before the first one. */
    get version(): number {
        return this.table?.document.version ?? 0;
    }

    /** The active state in the encoding in which it was read, for other instances. */
    get encoded(): Uint8Array | undefined {
        return this.encodedBytes;
    }

    /** Replaces the state if the given one is newer; returns whether it was. */
    replaceIfNewer(document: RelayDocument, encoded: Uint8Array): boolean {
        if (document.version <= this.version) {
            return false;
        }
        if (this.table !== undefined) {
            const kept = { table: this.table, untilMs: this.nowMs() + this.replacedTtlMs };
            this.replaced = [...this.replaced, kept].slice(-MAX_REPLACED);
            // Where no request asks for an old state, nothing else frees its memory.
            setTimeout(() => this.dropExpired(), this.replacedTtlMs + 1).unref();
        }
        this.table = new RouteTable(document);
        this.encodedBytes = encoded;
        this.events.emit("change", this.table);
        return true;
    }

    /** Resolves whether a version, or a newer one, is active within a time in milliseconds. */
    async waitFor(version: number, timeoutMs: number): Promise<boolean> {
        const endsAtMs = performance.now() + timeoutMs;
        while (this.version < version) {
            const leftMs = endsAtMs - performance.now();
            if (leftMs <= 0) {
                return false;
            }
            await once(this.events, "change", { signal: AbortSignal.timeout(Math.ceil(leftMs)) }).catch(() =>
                undefined
            );
        }
        return true;
    }

    /** Calls the listener with each newer state. */
    onChange(listener: (table: RouteTable) => void): void {
        this.events.on("change", listener);
    }

    private dropExpired(): void {
        const nowMs = this.nowMs();
        this.replaced = this.replaced.filter(({ untilMs }) => untilMs > nowMs);
    }
}
