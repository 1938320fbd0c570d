import type { Address } from "./address.js";
import type { VersionedDocument } from "./versioned-document.js";

/** Opens a copy of the sender's open intents at the receiver, replacing an unsealed earlier one. */
export interface CopyOpenRequest {
    readonly holder: string;
    /** Grows with each copy that the incarnation opens, at whichever receiver. */
    readonly generation: number;
    /** All open intents and all finishes not yet in the KV service; copy entries in the ledger's encoding. */
    readonly entries: Uint8Array;
}

/** Appends to an open copy; the holder acts only after the response. */
export interface CopyAppendRequest {
    readonly holder: string;
    readonly generation: number;
    /** Number of earlier appends to this generation; a gap is rejected. */
    readonly position: number;
    /** Copy entries in the ledger's encoding. */
    readonly entries: Uint8Array;
}

/** Whether a copy accepted the entries; a sealed or unknown copy accepts none. */
export interface CopyResponse {
    readonly accepted: boolean;
    readonly reason: "ok" | "sealed" | "unknown" | "leaving";
}

/** Requests that a peer return its idle grant of a budget to the KV service. */
export interface RecallRequest {
    readonly budget: string;
}

/** Tokens that a recall returned. */
export interface RecallResponse {
    readonly released: number;
}

/** Queries how many tokens of a budget a peer could reserve immediately. */
export interface HoldingsRequest {
    readonly budget: string;
}

/** Tokens free for reservation; 0 where the peer cannot dispatch. */
export interface HoldingsResponse {
    readonly available: number;
}

/** Queries the state of a request key at a peer. */
export interface KeyLookupRequest {
    readonly team: string;
    readonly budget: string;
    readonly requestKey: string;
}

/**
 * State of a request key at a peer:
 *
 * - `none`: the key is unknown there.
 * - `pending`: the peer accepted the request and first looks the key up at other instances.
 * - `running`, `finished`: the request runs or has finished there.
 * - `copied`: the request runs at a holder whose copy the peer stores.
 * - `sealed`: the request's holder was closed while the request ran.
 * - `billed`: the request is billed.
 */
export type KeyState = "none" | "pending" | "running" | "finished" | "copied" | "sealed" | "billed";

/** Response to a lookup; a caller's retry can be forwarded in every state except `none` and `copied`. */
export interface KeyLookupResponse {
    readonly state: KeyState;
    /** The peer's address for callers. */
    readonly caller: Address;
    /** For `copied`: the incarnation that ran the request when it last updated the copy. */
    readonly holder?: string;
}

/** Announces to a directory instance of a request key that an incarnation accepts a request with the key. */
export interface KeyAnnouncementRequest {
    readonly team: string;
    readonly requestKey: string;
    readonly runner: string;
}

/** Incarnations that accepted requests with the key before, in order of acceptance. */
export interface KeyAnnouncementResponse {
    readonly earlier: readonly string[];
}

/** Requests tokens from the owner of a budget and accounts for those granted before. Counts are of one epoch. */
export interface BudgetDrawRequest {
    readonly budget: string;
    /** Grows with each request of this borrower for the budget; a delayed earlier request is rejected. */
    readonly seq: number;
    /** Epoch of the ownership in which the counts were made; 0 before the first response. */
    readonly epoch: number;
    /** Tokens that the borrower received in that epoch. */
    readonly received: number;
    /** Tokens returned in that epoch, including those received in earlier epochs. */
    readonly returned: number;
    /** Tokens requested now. */
    readonly want: number;
    /** Minimum number of tokens to grant; from 0 to `want`. */
    readonly least: number;
}

/** Response to a draw. */
export type BudgetDrawResponse =
    | {
        readonly kind: "granted";
        readonly epoch: number;
        readonly tokens: number;
        /** Whether the remaining budget is large enough for the borrower to hold tokens for later. */
        readonly plenty: boolean;
    }
    /** Less than `least` remains. */
    | { readonly kind: "exhausted"; readonly epoch: number; }
    /** Another incarnation owns the budget; `owner` is undefined where it is unknown. */
    | { readonly kind: "elsewhere"; readonly owner: string | undefined; }
    | {
        readonly kind: "unavailable";
        readonly cause: string;
        /** Whether the responding instance is the owner, so that no other instance can grant the draw. */
        readonly isOwner: boolean;
        /** Time after which the owner can grant it, in milliseconds; undefined where that is not known. */
        readonly retryAfterMs?: number | undefined;
    };

/** Bound on the use of one budget beyond the window in the KV service, stored by witnesses. */
export interface BudgetNote {
    readonly shard: number;
    readonly epoch: number;
    readonly budget: string;
    /** Total use that the owner will not exceed. */
    readonly upTo: number;
}

/** Requests that a witness store bounds; it rejects those of a sealed epoch. */
export interface BudgetNoteRequest {
    readonly notes: readonly BudgetNote[];
}

/** Requests that a witness accept no more notes of a shard up to an epoch, and return those that it stores. */
export interface BudgetSealRequest {
    readonly shard: number;
    readonly epoch: number;
}

/** Highest bound in the notes of the sealed epoch, by budget. */
export interface BudgetSealResponse {
    readonly upTo: Readonly<Record<string, number>>;
    /** Set where notes or a seal of a later epoch are known, so that the sealed owner has a successor. */
    readonly laterEpoch?: number;
}

/** One entry of the KV service, read by a peer. */
export interface PeerKvEntry {
    readonly key: string;
    readonly value: Uint8Array;
    readonly modRevision: number;
    /** Whether the value is compressed (raw deflate); undefined where it is not. */
    readonly isDeflated?: boolean;
}

/** A conditional write that a peer makes for an instance that cannot reach the KV service. */
export interface PeerKvTxnRequest {
    readonly compares: readonly { readonly key: string; readonly modRevision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: Uint8Array; }[];
}

/** Outcome of a peer's call; "unavailable" guarantees that it had no effect. */
export type PeerKvOutcome = "done" | "unavailable" | "unknown";

/** Era of the KV service's data when a peer made a call. */
export interface PeerKvEra {
    /** Undefined from older versions, and where the call was not made. */
    readonly era?: number | undefined;
}

/** Requests the changes under a prefix from an instance that reads the KV service itself. */
export interface PeerChangesRequest {
    readonly prefix: string;
    /** Revision up to which the requester has all changes; undefined where it has none yet. */
    readonly after: number | undefined;
    /** Longest wait for a change, in milliseconds. */
    readonly waitMs: number;
    /** Whether values may be compressed; undefined from older versions. */
    readonly acceptsDeflate?: boolean;
}

/** What an instance knows of the changes under a prefix. */
type PeerChanges =
    /** The instance does not read the prefix itself, or has been unable to for some time. */
    | { readonly kind: "stale"; }
    | {
        readonly kind: "current";
        /** Whether `entries` are all entries under the prefix, and not only the changed ones. */
        readonly isWhole: boolean;
        readonly entries: readonly PeerKvEntry[];
        readonly removed: readonly { readonly key: string; readonly revision: number; }[];
        /** Revision of the KV service up to which this is complete. */
        readonly at: number;
        /** Time since the KV service was unavailable, in milliseconds; undefined where it was not. */
        readonly awayMsAgo: number | undefined;
    };

/** Response to a request for the changes under a prefix. */
export type PeerChangesResponse = PeerChanges & {
    /** Time for which the request waited for changes, in milliseconds; undefined from older versions. */
    readonly heldMs?: number;
};

/** A prompt part, or the whole, of a request that was lost in a crash of its target before its answer began. */
export interface PartAccusation {
    readonly part: string;
    /** Names one start of one target. */
    readonly crash: string;
    /** Time since the crash, in milliseconds. */
    readonly msAgo: number;
    /** Time from the send of the request to the crash, in milliseconds. */
    readonly ranMs: number;
    /** Number of parts that follow this one in the prompt and that other requests may have too. */
    readonly followers: number;
}

/** A prompt part for which an answer has begun. */
export interface AnsweredPart {
    readonly part: string;
    /** Time since the last answer began, in milliseconds. */
    readonly msAgo: number;
}

/** Quarantine of a prompt part that crashes targets, or its end. */
export interface PartDecision {
    readonly part: string;
    readonly isCleared: boolean;
    /** Time since the decision, in milliseconds. */
    readonly msAgo: number;
    /** Remaining time of the quarantine, in milliseconds; not above 0 where it has ended. */
    readonly leftMs: number;
    /** Number of quarantines of the part in sequence. */
    readonly strikes: number;
    /** Time since the first crash that the decision is based on, in milliseconds. */
    readonly sinceMsAgo: number;
    /** Crashes that the decision is based on. */
    readonly crashes: readonly string[];
    /** Number of parts that follow this one in a prompt and that other requests may have too. */
    readonly followers: number;
}

/** Limit of a target that is cold, beside the one that it may name. */
export interface ColdLimit {
    /** Requests a second that it takes from all instances together; above 0. */
    readonly perS: number;
    /** Time for which it is still cold, in milliseconds. */
    readonly leftMs: number;
}

/** What a response of a target said about its limit of requests a second. */
export interface TargetLimitSighting {
    /** Names one start of one target. */
    readonly target: string;
    /** Requests a second that it takes from all instances together; undefined where it named no limit any more. */
    readonly perS: number | undefined;
    /** Time since the response, in milliseconds. */
    readonly msAgo: number;
    /** Undefined where the target is not known to be cold, and from older versions. */
    readonly cold?: ColdLimit | undefined;
}

/** Response to a request for a send to a target with a limit. */
export interface SendPermitResponse {
    readonly granted: boolean;
    /** Time after which the next send may be granted, in milliseconds; 0 where this one was. */
    readonly waitMs: number;
    /** The newest sighting that the responding instance knows. */
    readonly limit: TargetLimitSighting;
}

/** Where a stream began. */
export interface StreamOrigin {
    readonly service: string;
    /** Version of the target's software; the rest of the stream fits only if it comes from the same one. */
    readonly version: string;
}

/** A version of a service that serves, or did. */
export interface ServingVersion extends StreamOrigin {
    /** Time since it was last known to serve, in milliseconds; 0 while it is. */
    readonly msAgo: number;
}

/** Origin of one stream, kept by instances beside the one that relayed its first event. */
export interface StreamMark extends StreamOrigin {
    readonly stream: string;
}

/** A send to a target that the sending instance cannot reach itself. */
export interface ForwardedSend {
    /** Number of the send, unique for the sending incarnation. */
    readonly send: number;
    /** Names one start of one target. */
    readonly target: string;
    readonly id: string;
    readonly host: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Uint8Array;
    readonly team: string | undefined;
    /** Remaining time of the request, in milliseconds. */
    readonly leftMs: number;
    readonly urgency: number | undefined;
    /** Id of the event after which the stream starts. */
    readonly afterEvent: number | undefined;
    readonly isRepeatable: boolean;
}

/** Head of a target's response to a forwarded send, or why there is none. */
export type ForwardedHead =
    /** The target has not received the request; another instance may be able to reach it. */
    | { readonly kind: "not_sent"; readonly cause: string; }
    | { readonly kind: "not_run"; readonly reason: "full" | "other_target"; readonly notes: TargetNotes; }
    | { readonly kind: "failed"; readonly cause: string; }
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: readonly (readonly [string, string])[];
        readonly isFramed: boolean;
        readonly notes: TargetNotes;
    };

/** A limit of requests a second in the head of a response. */
export interface NamedLimit {
    /** Requests a second that the target takes from all instances together; undefined where it is not readable. */
    readonly perS: number | undefined;
}

/** What a target said of itself in the head of a response, beside the response. */
export interface TargetNotes {
    readonly limit?: NamedLimit | undefined;
    /** Whether it stops soon and must get no new requests. */
    readonly isLeaving?: boolean | undefined;
    /** Time for which it wants nothing from the instance whose request it rejected, in milliseconds. */
    readonly pauseMs?: number | undefined;
    /** Rejections a second for want of room beyond which it breaks down; undefined where it does not. */
    readonly rejectionsPerS?: number | undefined;
    /** Time for which it is still cold, in milliseconds; undefined where it does not say. */
    readonly coldMs?: number | undefined;
}

/** Room of one start of a target. */
export interface RoomRequest {
    readonly target: string;
    /** Requests that the target handles concurrently. */
    readonly slots: number;
}

/** What has become of an instance's sends for which it acquired room. */
export interface RoomReport extends RoomRequest {
    /**
     * - `released`: one of them has ended.
     * - `rejected`: the target has rejected one for want of room.
     * - `open`: so many are open, sent now and then.
     */
    readonly kind: "released" | "rejected" | "open";
    readonly open: number;
}

/** Response to a request for room at a target. */
export interface RoomResponse {
    readonly granted: boolean;
    /** Time after which there may be room, in milliseconds; 0 where there was. */
    readonly waitMs: number;
}

/** Demand for one service at an instance that is short of room for it. */
export interface DemandReport {
    readonly service: string;
    /** Requests a second that arrived, by team. */
    readonly teams: Readonly<Record<string, number>>;
    /** Requests a second that started. */
    readonly startedPerS: number;
}

/** How much of a scarce service teams may use. */
export interface DemandShares {
    /** Shares of the requests of teams that may wait for the service, 0 to 1; other teams are not limited. */
    readonly shares: Readonly<Record<string, number>>;
}

/** A part of the response to a forwarded send, in order. */
export interface ForwardedBody {
    readonly send: number;
    readonly chunk: Uint8Array | undefined;
    /** Set in the last part: whether the response is complete, or why it broke off. */
    readonly end: { readonly cause: string | undefined; } | undefined;
}

/** Asks a peer to serve connections of the sender's callers, or to go on doing so. */
export interface HandoffRequest {
    /** Oldest version of the desired state with which they may be served. */
    readonly version: number;
    /** Set while the sender is stopping. */
    readonly stop?: HandoffStop | undefined;
}

/** How long an instance that hands connections off goes on with them while it stops, in milliseconds from now. */
export interface HandoffStop {
    /** Time for which every request is accepted. */
    readonly servesForMs: number;
    /** Time until the connections are closed. */
    readonly endsInMs: number;
}

/** Whether a peer serves connections of the sender's callers. */
export type HandoffResponse =
    | {
        readonly kind: "accepted";
        /** Where the connections are handed off. */
        readonly address: Address;
        /** Precedes the caller's bytes on each connection. */
        readonly ticket: Uint8Array;
        /** Version of the desired state by which the peer decides requests of the sender's callers. */
        readonly version: number;
        /** Requests that the peer has served for the sender. */
        readonly requests: number;
    }
    | { readonly kind: "refused"; readonly cause: string; };

/** Loads of targets that one instance has read; sent often, so its fields are short. */
export interface TargetLoadsMessage {
    /** Digest of the incarnation that has read them. */
    readonly by: number;
    /** Monotonic time at that instance when it sent them, in whole milliseconds. */
    readonly at: number;
    /** Readings in the encoding of the relay. */
    readonly of: Uint8Array;
    /** Number of the group of instances to which the receiver passes them on, and of all groups; undefined where it does not. */
    readonly to?: readonly [number, number];
}

/** Requests between instances by kind, with the types of request and response. */
export interface PeerRequests {
    readonly "copy.open": { readonly req: CopyOpenRequest; readonly res: CopyResponse; };
    readonly "copy.append": { readonly req: CopyAppendRequest; readonly res: CopyResponse; };
    readonly "ledger.recall": { readonly req: RecallRequest; readonly res: RecallResponse; };
    readonly "ledger.holdings": { readonly req: HoldingsRequest; readonly res: HoldingsResponse; };
    readonly "claims.lookup": { readonly req: KeyLookupRequest; readonly res: KeyLookupResponse; };
    readonly "claims.announce": { readonly req: KeyAnnouncementRequest; readonly res: KeyAnnouncementResponse; };
    /** Sends a document; the response is the revision active at the receiver afterwards. */
    readonly "config.push": { readonly req: VersionedDocument; readonly res: { readonly revision: number; }; };
    /** Requests the active document. */
    readonly "config.get": {
        readonly req: Record<string, never>;
        readonly res: { readonly document: VersionedDocument | undefined; };
    };
    readonly "budget.draw": { readonly req: BudgetDrawRequest; readonly res: BudgetDrawResponse; };
    /** Stores bounds at a witness; it accepts all or none. */
    readonly "budget.note": { readonly req: BudgetNoteRequest; readonly res: { readonly taken: boolean; }; };
    /** Asks in which epoch the receiver owns a shard; undefined where it does not. */
    readonly "budget.locate": {
        readonly req: { readonly shard: number; };
        readonly res: { readonly epoch: number | undefined; };
    };
    readonly "budget.seal": { readonly req: BudgetSealRequest; readonly res: BudgetSealResponse; };
    /** Reads a key of the KV service for an instance that cannot reach the service. */
    readonly "kv.get": {
        readonly req: { readonly key: string; };
        readonly res: PeerKvEra & { readonly outcome: PeerKvOutcome; readonly entry: PeerKvEntry | undefined; };
    };
    readonly "kv.txn": {
        readonly req: PeerKvTxnRequest;
        readonly res: PeerKvEra & {
            readonly outcome: PeerKvOutcome;
            readonly succeeded: boolean;
            readonly revision: number;
        };
    };
    /** Waits for changes that the receiver has read from the KV service. */
    readonly "kv.changes": { readonly req: PeerChangesRequest; readonly res: PeerChangesResponse; };
    /** Requests the relay's active desired state, as operators wrote it. */
    readonly "relay.document": {
        readonly req: { readonly acceptsDeflate?: boolean; };
        readonly res: { readonly encoded: Uint8Array | undefined; readonly isDeflated?: boolean; };
    };
    /** Announces targets that are leaving; the response is empty. */
    readonly "targets.leaving": {
        readonly req: { readonly targets: readonly string[]; };
        readonly res: Record<string, never>;
    };
    /** Sends the loads of targets; the response is empty. */
    readonly "targets.loads": { readonly req: TargetLoadsMessage; readonly res: Record<string, never>; };
    /** Asks which availability zones are evacuated, for an instance that does not reach the KV service. */
    readonly "zones.evacuated": {
        readonly req: Record<string, never>;
        readonly res: { readonly zones: readonly string[]; };
    };
    /** Requests one send to a target from the instance that keeps its limit. */
    readonly "limits.acquire": {
        readonly req: { readonly limit: TargetLimitSighting; };
        readonly res: SendPermitResponse;
    };
    /** Reports sightings to the instance that keeps the limits, and from there to all; the response is empty. */
    readonly "limits.tell": {
        readonly req: { readonly limits: readonly TargetLimitSighting[]; };
        readonly res: Record<string, never>;
    };
    /** Stores the origins of streams; the response is empty. */
    readonly "streams.mark": {
        readonly req: { readonly marks: readonly StreamMark[]; };
        readonly res: Record<string, never>;
    };
    /**
     * Asks where a stream began, undefined where the receiver does not know, and at which versions of the services one may
     * have begun as far as it knows.
     */
    readonly "streams.find": {
        readonly req: { readonly stream: string; readonly services: readonly string[]; };
        readonly res: {
            readonly origin: StreamOrigin | undefined;
            readonly versions: readonly ServingVersion[];
            /** Whether the receiver would know of a version that has begun to serve; undefined from older versions. */
            readonly isCurrent?: boolean;
        };
    };
    /** Asks whether the receiver reaches a target, by the name of its start. */
    readonly "targets.reach": {
        readonly req: { readonly target: string; };
        readonly res: { readonly isReachable: boolean; };
    };
    /** Sends a request to a target for an instance that cannot reach it; the body follows in requests to that instance. */
    readonly "sends.forward": { readonly req: ForwardedSend; readonly res: ForwardedHead; };
    /** Passes a part of a response on; the response tells whether the rest is wanted, once there is room for it. */
    readonly "sends.body": { readonly req: ForwardedBody; readonly res: { readonly isWanted: boolean; }; };
    /** Waits for the end of a forwarded send, so that its sender notices when the link is lost; the response is empty. */
    readonly "sends.watch": { readonly req: { readonly send: number; }; readonly res: Record<string, never>; };
    /** Ends a forwarded send whose response nobody needs any more; the response is empty. */
    readonly "sends.cancel": { readonly req: { readonly send: number; }; readonly res: Record<string, never>; };
    /** Asks for a ticket with which connections can be handed off, or renews it. */
    readonly "connections.take": { readonly req: HandoffRequest; readonly res: HandoffResponse; };
    /** Requests room for one send from the instance that keeps a target's room. */
    readonly "room.acquire": { readonly req: RoomRequest; readonly res: RoomResponse; };
    /** Reports sends to a target to the instance that keeps its room; the response is empty. */
    readonly "room.report": { readonly req: RoomReport; readonly res: Record<string, never>; };
    /** Reports the demand for a service to the instance that adds it up; the response says what teams may use. */
    readonly "demand.report": { readonly req: DemandReport; readonly res: DemandShares; };
    /** Reports accusations to a collector; the response has the number of crashes that speak against each part. */
    readonly "parts.accuse": {
        readonly req: { readonly accusations: readonly PartAccusation[]; };
        readonly res: { readonly crashes: readonly number[]; };
    };
    /** Asks for which of the parts an answer has begun. */
    readonly "parts.answered": {
        readonly req: { readonly parts: readonly string[]; };
        readonly res: { readonly answered: readonly AnsweredPart[]; };
    };
    /** Announces decisions; the response has the parts for which an answer has begun since the first crash. */
    readonly "parts.decide": {
        readonly req: { readonly decisions: readonly PartDecision[]; };
        readonly res: { readonly answered: readonly AnsweredPart[]; };
    };
}

/** Kinds of requests between instances. */
export type PeerRequestKind = keyof PeerRequests;
