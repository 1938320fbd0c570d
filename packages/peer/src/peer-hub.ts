import type { InstanceInfo, PeerRequestKind, PeerRequests } from "@ospreyreel/types";
import type { Stream } from "most";

/** A change of the membership as known to this instance. */
export interface MembershipChange {
    readonly kind: "joined" | "updated" | "lost";
    readonly info: InstanceInfo;
}

/** Handles one kind of request from another instance. */
export type PeerHandler<K extends PeerRequestKind> = (
    req: PeerRequests[K]["req"],
    from: InstanceInfo,
) => Promise<PeerRequests[K]["res"]>;

/** Connects one instance to all others. */
export abstract class PeerHub {
    /** Sends a request to the incarnation and waits for its response; throws `peerUnavailable` on any uncertainty. */
    abstract request<K extends PeerRequestKind>(
        incarnation: string,
        kind: K,
        req: PeerRequests[K]["req"],
        timeoutMs: number,
    ): Promise<PeerRequests[K]["res"]>;

    /** Registers the handler of a kind; one per kind. */
    abstract handle<K extends PeerRequestKind>(kind: K, handler: PeerHandler<K>): void;

    /** Returns the other instances in contact within the heartbeat timeout, live and leaving, without this one. */
    abstract peers(): readonly InstanceInfo[];

    /** Returns the info of this instance as known to others. */
    abstract self(): InstanceInfo;

    /** Changes this instance's info and sends it to all. With a new incarnation the instance joins again. */
    abstract updateSelf(change: Partial<Pick<InstanceInfo, "state" | "configRevision" | "incarnation">>): void;

    /** Returns the stream of membership changes. */
    abstract changes(): Stream<MembershipChange>;

    /** Stops accepting and closes all links. */
    abstract close(): Promise<void>;
}
