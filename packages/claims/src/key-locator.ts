import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, KeyLookupRequest, KeyLookupResponse, KeyState } from "@ospreyreel/types";
import { KeyDirectory } from "./key-directory.js";

/** State of a key at one instance; `holder` is set for `copied`. */
export type KeyStatus = Omit<KeyLookupResponse, "caller">;

/** Options of {@link KeyLocator}. */
export interface KeyLocatorOptions {
    readonly hub: PeerHub;
    /** Returns the state of a key at this instance. */
    readonly getKeyStatus: (req: KeyLookupRequest) => KeyStatus;
    /** Directory instances of a key, which record who accepted it; the same wherever the membership is the same. */
    readonly getDirectoryInstances: (req: KeyLookupRequest) => readonly InstanceInfo[];
    /** Maximum number of peers for which all of them are queried; 16 by default. */
    readonly maxPeersToQueryAll?: number;
    readonly directory?: KeyDirectory;
    /** Timeout of a request to one peer; 200 by default. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 200;
const DEFAULT_MAX_PEERS_TO_QUERY_ALL = 16;

const getKey = ({ team, requestKey }: KeyLookupRequest): string => `${team}\n${requestKey}`;

/** The most informative state first. */
const STATE_PRECEDENCE: readonly KeyState[] = ["running", "finished", "sealed", "billed", "copied", "pending", "none"];

/** Receives the result of a search: the response of the peer that has the request, or undefined to run it here. */
export type LocateHandler = (found: KeyLookupResponse | undefined) => void;

interface PeerResponse {
    readonly peer: string;
    readonly response: KeyLookupResponse;
}

/**
 * Looks up a request key at the other instances. In a small fleet it queries all of them. In a large one each instance
 * that accepts a key announces it to the key's directory instances, which return the earlier ones to be queried.
 */
export class KeyLocator {
    private readonly directory: KeyDirectory;
    /** Incarnations to which a key was reported as pending here, by key, while a search for it is running. */
    private readonly pendingReports = new Map<string, Set<string>>();

    constructor(private readonly opts: KeyLocatorOptions) {
        this.directory = opts.directory ?? new KeyDirectory();
    }

    /** Handles the lookups and announcements of peers. */
    serve(): void {
        const { hub, getKeyStatus } = this.opts;
        hub.handle("claims.lookup", async (req, from) => {
            const knowledge = getKeyStatus(req);
            if (knowledge.state === "pending") {
                this.pendingReports.get(getKey(req))?.add(from.incarnation);
            }
            return await Promise.resolve({ ...knowledge, caller: hub.self().caller });
        });
        hub.handle("claims.announce", async req => await Promise.resolve({ earlier: this.directory.announce(req) }));
    }

    /**
     * Returns the most informative response of the peers that may know the key; undefined where none knows it.
     * `ownCopy` is the incarnation that ran the key according to a copy held here. The key counts as accepted here.
     *
     * Where several instances accept a key at the same time, one of them runs it. `onDecided` is called with the result
     * in the same synchronous step as the decision, so that later lookups of the key at this instance agree with it.
     */
    async locate(
        req: KeyLookupRequest,
        ownCopy?: string,
        onDecided: LocateHandler = () => undefined,
    ): Promise<KeyLookupResponse | undefined> {
        const key = getKey(req);
        this.pendingReports.set(key, new Set());
        try {
            const responses = await this.search(req, ownCopy);
            const found = this.chooseResponse(responses, ownCopy, this.pendingReports.get(key) ?? new Set());
            onDecided(found);
            return found;
        }
        finally {
            this.pendingReports.delete(key);
        }
    }

    private async search(req: KeyLookupRequest, ownCopy: string | undefined): Promise<readonly PeerResponse[]> {
        const peers = this.opts.hub.peers();
        const earlier = await this.announce(req);
        if (earlier === undefined) {
            return await this.queryAll(peers, req);
        }
        const runners = new Set(ownCopy === undefined ? earlier : [...earlier, ownCopy]);
        const reachable = [...runners].flatMap(runner => peers.find(peer => peer.incarnation === runner) ?? []);
        const responses = await this.queryAll(reachable, req);
        // For an unreachable runner, its copy holder or the instance that closed it may know the key.
        const others = responses.length === runners.size ? [] : peers.filter(peer => !reachable.includes(peer));
        return [...responses, ...await this.queryAll(others, req)];
    }

    /**
     * Announces to the directory instances of a key that this instance accepted it. Returns the incarnations that
     * announced it before; undefined where the fleet is small or no directory instance can be reached.
     */
    async announce(req: KeyLookupRequest): Promise<readonly string[] | undefined> {
        if (this.opts.hub.peers().length <= (this.opts.maxPeersToQueryAll ?? DEFAULT_MAX_PEERS_TO_QUERY_ALL)) {
            return undefined;
        }
        const results = await Promise.allSettled(
            this.opts.getDirectoryInstances(req).map(instance => this.announceTo(instance, req)),
        );
        const earlier = results.filter(result => result.status === "fulfilled").map(result => result.value);
        return earlier.length === 0 ? undefined : [...new Set(earlier.flat())];
    }

    private async announceTo(
        instance: InstanceInfo,
        { team, requestKey }: KeyLookupRequest,
    ): Promise<readonly string[]> {
        const { hub } = this.opts;
        const runner = hub.self().incarnation;
        const announcement = { team, requestKey, runner };
        if (instance.incarnation === runner) {
            return this.directory.announce(announcement);
        }
        const response = await hub.request(instance.incarnation, "claims.announce", announcement, this.timeoutMs);
        return response.earlier;
    }

    private chooseResponse(
        responses: readonly PeerResponse[],
        ownCopy: string | undefined,
        reportedTo: ReadonlySet<string>,
    ): KeyLookupResponse | undefined {
        // The response of a holder supersedes a copy, which may have missed the end of the request.
        const responders = new Set(responses.map(response => response.peer));
        const own: readonly KeyLookupResponse[] = ownCopy === undefined
            ? []
            : [{ state: "copied", caller: this.opts.hub.self().caller, holder: ownCopy }];
        const known = [...responses.map(({ response }) => response), ...own]
            .filter(response => response.state !== "none" && response.state !== "pending")
            .filter(response =>
                response.state !== "copied" || response.holder === undefined || !responders.has(response.holder)
            );
        const best = known.toSorted((a, b) => STATE_PRECEDENCE.indexOf(a.state) - STATE_PRECEDENCE.indexOf(b.state))[0];
        return best ?? this.choosePending(responses, reportedTo);
    }

    /**
     * Chooses among instances that search for the same key at the same time. A peer to which the key was reported as
     * pending here yields if this instance's incarnation sorts first; a peer without that report runs the request.
     */
    private choosePending(
        responses: readonly PeerResponse[],
        reportedTo: ReadonlySet<string>,
    ): KeyLookupResponse | undefined {
        const own = this.opts.hub.self().incarnation;
        const preceding = responses.filter(({ response, peer }) =>
            response.state === "pending" && (peer < own || !reportedTo.has(peer))
        );
        return preceding.toSorted((a, b) => a.peer < b.peer ? -1 : 1)[0]?.response;
    }

    /** Responses of the reachable peers. */
    private async queryAll(peers: readonly InstanceInfo[], req: KeyLookupRequest): Promise<readonly PeerResponse[]> {
        const settled = await Promise.allSettled(peers.map(peer => this.query(peer, req)));
        return settled.filter(result => result.status === "fulfilled").map(result => result.value);
    }

    private async query(peer: InstanceInfo, req: KeyLookupRequest): Promise<PeerResponse> {
        const response = await this.opts.hub.request(peer.incarnation, "claims.lookup", req, this.timeoutMs);
        return { peer: peer.incarnation, response };
    }

    private get timeoutMs(): number {
        return this.opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }
}
