import type { Bill } from "./bill.js";
import type { Intent } from "./intent.js";

/** An intent that the holder may dispatch once this entry is acknowledged. */
export interface IntentEntry {
    readonly kind: "intent";
    readonly intent: Intent;
}

/** The end of an intent: the tokens served and, unless nothing ran, its bill. */
export interface FinishEntry {
    readonly kind: "finish";
    readonly intentId: string;
    readonly budget: string;
    /** Order of finishes within one shard of one incarnation; starts at 1. */
    readonly finishSeq: number;
    /** Tokens that count against the budget. */
    readonly tokens: number;
    readonly bill: Bill | undefined;
}

/** The holder's settlements up to finishSeq of a shard are in the KV service. */
export interface FlushedEntry {
    readonly kind: "flushed";
    readonly shard: number;
    readonly finishSeq: number;
}

/** One line of the log that a holder sends to its copy holder. */
export type CopyEntry = IntentEntry | FinishEntry | FlushedEntry;
