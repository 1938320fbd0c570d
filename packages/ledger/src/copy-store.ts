import type { PeerHub } from "@ospreyreel/peer";
import type {
    CopyAppendRequest,
    CopyEntry,
    CopyOpenRequest,
    CopyResponse,
    FinishEntry,
    Intent,
} from "@ospreyreel/types";
import { decodeCopyEntries } from "./copy-codec.js";

/** Copy of one holder at its copy holder. */
export interface HeldCopy {
    readonly holder: string;
    readonly sealed: boolean;
    readonly intents: readonly Intent[];
    /** Finishes that the holder has not reported as written to the key-value service. */
    readonly finishes: readonly FinishEntry[];
}

class Copy {
    position = 0;
    sealed = false;
    /** Whether the holder is closed or its copy moved: the contents are gone, so nothing may be closed from it. */
    dropped = false;
    readonly intents = new Map<string, Intent>();
    readonly finishes = new Map<string, { readonly shard: number; readonly entry: FinishEntry; }>();

    constructor(
        readonly holder: string,
        readonly generation: number,
        private readonly shardOf: (budget: string) => number,
    ) {}

    apply(entries: readonly CopyEntry[]): void {
        entries.forEach(entry => this.applyEntry(entry));
    }

    private applyEntry(entry: CopyEntry): void {
        if (entry.kind === "intent") {
            this.intents.set(entry.intent.id, entry.intent);
        }
        else if (entry.kind === "finish") {
            this.intents.delete(entry.intentId);
            this.finishes.set(entry.intentId, { shard: this.shardOf(entry.budget), entry });
        }
        else {
            this.dropFlushed(entry.shard, entry.finishSeq);
        }
    }

    private dropFlushed(shard: number, finishSeq: number): void {
        for (const [id, finish] of this.finishes) {
            if (finish.shard === shard && finish.entry.finishSeq <= finishSeq) {
                this.finishes.delete(id);
            }
        }
    }
}

/** Copies that this instance holds for others, in memory only; they are never the authority on open requests. */
export class CopyStore {
    private readonly copies = new Map<string, Copy>();
    private leaving = false;

    constructor(private readonly shardOf: (budget: string) => number) {}

    /** Registers the handlers for copy requests. */
    serve(hub: PeerHub): void {
        hub.handle("copy.open", async req => await Promise.resolve(this.open(req)));
        hub.handle("copy.append", async req => await Promise.resolve(this.append(req)));
    }

    /** Stores a whole copy; rejects one that is not newer than the stored copy, and any copy once sealed. */
    open(req: CopyOpenRequest): CopyResponse {
        const known = this.copies.get(req.holder);
        if (known?.sealed === true) {
            return { accepted: false, reason: "sealed" };
        }
        if (this.leaving) {
            return { accepted: false, reason: "leaving" };
        }
        if (known !== undefined && known.generation >= req.generation) {
            return { accepted: false, reason: "unknown" };
        }
        const copy = new Copy(req.holder, req.generation, this.shardOf);
        copy.apply(decodeCopyEntries(req.entries));
        this.copies.set(req.holder, copy);
        return { accepted: true, reason: "ok" };
    }

    /** Appends entries; rejects them after a gap, for another generation, and once sealed. */
    append(req: CopyAppendRequest): CopyResponse {
        const copy = this.copies.get(req.holder);
        if (copy?.sealed === true) {
            return { accepted: false, reason: "sealed" };
        }
        if (copy === undefined || copy.generation !== req.generation || copy.position !== req.position) {
            return { accepted: false, reason: "unknown" };
        }
        copy.position += 1;
        copy.apply(decodeCopyEntries(req.entries));
        return { accepted: true, reason: "ok" };
    }

    /** Stops acknowledging entries of a holder and returns its copy; undefined without one. */
    seal(holder: string): HeldCopy | undefined {
        const copy = this.copies.get(holder);
        if (copy === undefined || copy.dropped) {
            return undefined;
        }
        copy.sealed = true;
        return getHeldCopy(copy);
    }

    /** Removes a copy whose holder is closed or that is held elsewhere. A sealed holder is still rejected. */
    drop(holder: string): void {
        const copy = this.copies.get(holder);
        copy?.intents.clear();
        copy?.finishes.clear();
        if (copy?.sealed === true) {
            copy.dropped = true;
        }
        else {
            this.copies.delete(holder);
        }
    }

    /** All copies that were not dropped. */
    list(): readonly HeldCopy[] {
        return [...this.copies.values()].filter(copy => !copy.dropped).map(getHeldCopy);
    }

    /** The open intent of a request key, with its holder. */
    find(team: string, requestKey: string): { readonly copy: HeldCopy; readonly intent: Intent; } | undefined {
        for (const copy of this.copies.values()) {
            for (const intent of copy.intents.values()) {
                if (intent.team === team && intent.requestKey === requestKey) {
                    return { copy: getHeldCopy(copy), intent };
                }
            }
        }
        return undefined;
    }

    /** Accepts no new copies; existing ones stay in use until their holders have moved them. */
    leave(): void {
        this.leaving = true;
    }
}

const getHeldCopy = (copy: Copy): HeldCopy => ({
    holder: copy.holder,
    sealed: copy.sealed,
    intents: [...copy.intents.values()],
    finishes: [...copy.finishes.values()].map(finish => finish.entry),
});
