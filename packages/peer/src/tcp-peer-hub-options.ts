import type { Counters, Log } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo } from "@ospreyreel/types";
import { type LinkView, ZoneLinkView } from "./link-view.js";

/** Options of a hub over TCP. */
export interface TcpPeerHubOptions {
    /** Info of this instance; a peer port of 0 is replaced by the port that is listened on. */
    readonly self: InstanceInfo;
    readonly listen: Address;
    /** Secret of the whole fleet. */
    readonly sharedKey: string;
    /** Interval between heartbeats, in milliseconds; 500 by default. */
    readonly heartbeatMs?: number;
    /** Time without contact after which a peer counts as lost, in milliseconds; 2,000 by default. */
    readonly peerTimeoutMs?: number;
    /** Largest frame body, in bytes; 4 MiB by default. */
    readonly maxFrameBytes?: number;
    /** Largest fleet in which all instances link to all; 16 by default. */
    readonly fullMeshUpTo?: number;
    /** Selects the links in larger fleets; a {@link ZoneLinkView} by default. */
    readonly view?: LinkView;
    /** Time without requests after which a link outside the view is closed, in milliseconds; 10,000 by default. */
    readonly idleLinkMs?: number;
    /** Interval between comparisons of records with a peer, in milliseconds; 10,000 by default. */
    readonly compareMs?: number;
    readonly counters: Counters;
    readonly log?: Log;
}

/** Options with all defaults filled in. */
export type FullTcpPeerHubOptions = Required<TcpPeerHubOptions>;

/** Defaults of the options. */
export const TCP_PEER_HUB_DEFAULTS = {
    heartbeatMs: 500,
    peerTimeoutMs: 2_000,
    maxFrameBytes: 4 * 1_024 * 1_024,
    fullMeshUpTo: 16,
    view: new ZoneLinkView(),
    idleLinkMs: 10_000,
    compareMs: 10_000,
};
