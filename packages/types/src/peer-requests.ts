import type { Address } from "./address.js";
import type { VersionedDocument } from "./versioned-document.js";

/** Opens a copy of the sender's open intents at the receiver, replacing an unsealed earlier one. */
export interface CopyOpenRequest {
    readonly holder: string;
    /** Grows with each copy that the incarnation opens, at whichever receiver. */
    readonly generation: number;
    /** All open intents and all finishes not yet in the KV service, as the ledger encodes copy entries. */
    readonly entries: Uint8Array;
}

/** Appends to an open copy; the holder acts only after the answer. */
export interface CopyAppendRequest {
    readonly holder: string;
    readonly generation: number;
    /** Number of appends to this generation before this one; a gap is refused. */
    readonly position: number;
    /** As the ledger encodes copy entries. */
    readonly entries: Uint8Array;
}

/** Says whether a copy took the entries; a sealed or unknown copy takes none. */
export interface CopyAnswer {
    readonly accepted: boolean;
    readonly reason: "ok" | "sealed" | "unknown" | "leaving";
}

/** Asks a peer to hand its idle grant of a budget back to the KV service. */
export interface RecallRequest {
    readonly budget: string;
}

/** What a recall handed back, in tokens. */
export interface RecallAnswer {
    readonly released: number;
}

/** Asks how many tokens of a budget a peer could reserve at once. */
export interface HoldingsRequest {
    readonly budget: string;
}

/** Tokens free for reservation, and whether the peer may dispatch at all. */
export interface HoldingsAnswer {
    readonly available: number;
}

/** Asks what a peer knows of a request key. */
export interface KeyLookupRequest {
    readonly team: string;
    readonly budget: string;
    readonly requestKey: string;
}

/**
 * What a peer knows of a request key: nothing; that it was taken there, and is looked for elsewhere first; that it runs
 * or has finished there; that it runs at a holder whose copy
 * the peer keeps; that its holder was closed while it ran; that it is billed.
 */
export type KeyState = "none" | "pending" | "running" | "finished" | "copied" | "sealed" | "billed";

/** Answer to a lookup; a caller's retry can be forwarded for all but `none` and `copied`. */
export interface KeyLookupAnswer {
    readonly state: KeyState;
    /** The peer's address for callers. */
    readonly caller: Address;
    /** For `copied`: the incarnation that ran the request when the copy last heard of it. */
    readonly holder?: string;
}

/** Tells a home of a request key that an incarnation takes a request with it. */
export interface KeyAnnouncement {
    readonly team: string;
    readonly requestKey: string;
    readonly runner: string;
}

/** Incarnations that took requests with the key before, the first one first. */
export interface KeyAnnouncementAnswer {
    readonly earlier: readonly string[];
}

/** Asks the owner of a budget for tokens, and accounts for those it gave before. Counts are of one epoch. */
export interface BudgetDrawRequest {
    readonly budget: string;
    /** Grows with each exchange of this borrower and budget; an earlier one that comes late is refused. */
    readonly seq: number;
    /** Epoch of the ownership in which the counts were made; 0 before the first answer. */
    readonly epoch: number;
    /** Tokens that arrived here in that epoch. */
    readonly received: number;
    /** Tokens given back in that epoch, those included that were received in earlier ones. */
    readonly returned: number;
    /** Tokens wanted now. */
    readonly want: number;
    /** Fewest tokens that are of use; 0 to 1 `want`. */
    readonly least: number;
}

/** Answer to a draw. */
export type BudgetDrawAnswer =
    | {
        readonly kind: "granted";
        readonly epoch: number;
        readonly tokens: number;
        /** Whether so much is left that some may be kept for later. */
        readonly plenty: boolean;
    }
    /** Less than `least` is left. */
    | { readonly kind: "exhausted"; readonly epoch: number; }
    /** Another incarnation owns the budget; undefined where it is not known which. */
    | { readonly kind: "elsewhere"; readonly owner: string | undefined; }
    | {
        readonly kind: "unavailable";
        readonly cause: string;
        /** Whether the asked instance is the owner, so that no other one can help. */
        readonly isOwner: boolean;
    };

/** Bound on the use of one budget beyond the window in the KV service. */
export interface BudgetNote {
    readonly shard: number;
    readonly epoch: number;
    readonly budget: string;
    /** Total use that the owner will not exceed. */
    readonly upTo: number;
}

/** Asks a witness to keep bounds; it refuses those of a sealed epoch. */
export interface BudgetNoteRequest {
    readonly notes: readonly BudgetNote[];
}

/** Asks a witness to take no more notes of a shard up to an epoch, and to tell the ones it has. */
export interface BudgetSealRequest {
    readonly shard: number;
    readonly epoch: number;
}

/** Highest notes of the sealed epoch by budget. */
export interface BudgetSealAnswer {
    readonly upTo: Readonly<Record<string, number>>;
}

/** One entry of the KV service, as a peer read it. */
export interface PeerKvEntry {
    readonly key: string;
    readonly value: Uint8Array;
    readonly modRevision: number;
}

/** A conditional write that a peer makes for an instance which the KV service does not serve. */
export interface PeerKvTxnRequest {
    readonly compares: readonly { readonly key: string; readonly modRevision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: Uint8Array; }[];
}

/** Outcome of a peer's call; "unavailable" promises that it had no effect. */
export type PeerKvOutcome = "done" | "unavailable" | "unknown";

/** Asks an instance that reads the KV service itself for the changes under a prefix. */
export interface PeerChangesRequest {
    readonly prefix: string;
    /** Revision up to which the asker knows all; undefined where it knows nothing yet. */
    readonly after: number | undefined;
    /** Longest wait for a change, in milliseconds. */
    readonly waitMs: number;
}

/** What an instance knows of a prefix. */
export type PeerChangesAnswer =
    /** It does not read the prefix itself, or has not been able to for some time. */
    | { readonly kind: "stale"; }
    | {
        readonly kind: "current";
        /** Whether `entries` are all under the prefix, and not only what changed. */
        readonly isWhole: boolean;
        readonly entries: readonly PeerKvEntry[];
        readonly removed: readonly { readonly key: string; readonly revision: number; }[];
        /** Revision of the KV service up to which this is complete. */
        readonly at: number;
        /** Time since the KV service was away, in milliseconds; undefined where it was not. */
        readonly awayMsAgo: number | undefined;
    };

/** Requests between instances by kind, with the shapes of request and answer. */
export interface PeerRequests {
    readonly "copy.open": { readonly req: CopyOpenRequest; readonly res: CopyAnswer; };
    readonly "copy.append": { readonly req: CopyAppendRequest; readonly res: CopyAnswer; };
    readonly "ledger.recall": { readonly req: RecallRequest; readonly res: RecallAnswer; };
    readonly "ledger.holdings": { readonly req: HoldingsRequest; readonly res: HoldingsAnswer; };
    readonly "claims.lookup": { readonly req: KeyLookupRequest; readonly res: KeyLookupAnswer; };
    readonly "claims.announce": { readonly req: KeyAnnouncement; readonly res: KeyAnnouncementAnswer; };
    /** Offers a document; the answer is the revision in force at the receiver afterwards. */
    readonly "config.push": { readonly req: VersionedDocument; readonly res: { readonly revision: number; }; };
    /** Asks for the document in force. */
    readonly "config.get": {
        readonly req: Record<string, never>;
        readonly res: { readonly document: VersionedDocument | undefined; };
    };
    readonly "budget.draw": { readonly req: BudgetDrawRequest; readonly res: BudgetDrawAnswer; };
    /** Keeps bounds at a witness; all or none are taken. */
    readonly "budget.note": { readonly req: BudgetNoteRequest; readonly res: { readonly taken: boolean; }; };
    readonly "budget.seal": { readonly req: BudgetSealRequest; readonly res: BudgetSealAnswer; };
    /** Reads a key of the KV service for an instance that it does not serve. */
    readonly "kv.get": {
        readonly req: { readonly key: string; };
        readonly res: { readonly outcome: PeerKvOutcome; readonly entry: PeerKvEntry | undefined; };
    };
    readonly "kv.txn": {
        readonly req: PeerKvTxnRequest;
        readonly res: { readonly outcome: PeerKvOutcome; readonly succeeded: boolean; readonly revision: number; };
    };
    /** Waits for changes that the asked instance has read from the KV service. */
    readonly "kv.changes": { readonly req: PeerChangesRequest; readonly res: PeerChangesAnswer; };
    /** Asks for the relay's desired state in force, as operators wrote it. */
    readonly "relay.document": {
        readonly req: Record<string, never>;
        readonly res: { readonly encoded: Uint8Array | undefined; };
    };
    /** Tells of targets that are leaving; the answer is empty. */
    readonly "targets.leaving": {
        readonly req: { readonly targets: readonly string[]; };
        readonly res: Record<string, never>;
    };
}

/** Kinds of requests between instances. */
export type PeerRequestKind = keyof PeerRequests;
