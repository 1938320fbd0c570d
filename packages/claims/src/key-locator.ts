import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, KeyLookupAnswer, KeyLookupRequest, KeyState } from "@ospreyreel/types";
import { KeyDirectory } from "./key-directory.js";

/** What one instance knows of a key; `holder` is set for `copied`. */
export type KeyKnowledge = Omit<KeyLookupAnswer, "caller">;

/** What a locator needs. */
export interface KeyLocatorOptions {
    readonly hub: PeerHub;
    /** What this instance knows of a key. */
    readonly getKnowledge: (req: KeyLookupRequest) => KeyKnowledge;
    /** Instances that are told which ones take a key; the same in the whole fleet as far as the membership is. */
    readonly getHomes: (req: KeyLookupRequest) => readonly InstanceInfo[];
    /** Number of peers up to which all of them are asked; 16 by default. */
    readonly askAllUpTo?: number;
    readonly directory?: KeyDirectory;
    /** Longest wait for one peer; 200 by default. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 200;
const DEFAULT_ASK_ALL_UP_TO = 16;

const getKey = ({ team, requestKey }: KeyLookupRequest): string => `${team}\n${requestKey}`;

/** The most telling state first. */
const PRECEDENCE: readonly KeyState[] = ["running", "finished", "sealed", "billed", "copied", "pending", "none"];

/** What a search ends with: the peer that answers, or undefined where the request is to be run here. */
export type SearchDecision = (found: KeyLookupAnswer | undefined) => void;

interface PeerAnswer {
    readonly peer: string;
    readonly answer: KeyLookupAnswer;
}

/**
 * Finds out from the other instances whether a request key is known there. In a small fleet it asks them all. In a large
 * one each instance that takes a key tells its homes, which know the others that took it; only those are asked.
 */
export class KeyLocator {
    private readonly directory: KeyDirectory;
    /** Incarnations that were told of a key that it is pending here, by key, while a search for it goes on. */
    private readonly toldPending = new Map<string, Set<string>>();

    constructor(private readonly opts: KeyLocatorOptions) {
        this.directory = opts.directory ?? new KeyDirectory();
    }

    /** Answers the lookups and announcements of others. */
    serve(): void {
        const { hub, getKnowledge } = this.opts;
        hub.handle("claims.lookup", async (req, from) => {
            const knowledge = getKnowledge(req);
            if (knowledge.state === "pending") {
                this.toldPending.get(getKey(req))?.add(from.incarnation);
            }
            return await Promise.resolve({ ...knowledge, caller: hub.self().caller });
        });
        hub.handle("claims.announce", async req => await Promise.resolve({ earlier: this.directory.announce(req) }));
    }

    /**
     * The most telling answer of the peers that can know the key; undefined where none knows it. `ownCopy` is the
     * incarnation that ran the key by a copy kept here. The key counts as taken here from now on.
     *
     * Where several instances take a key at the same time, one of them runs it. `decide` is called with the result in the
     * very step in which that is settled, so that what this instance tells of the key from then on agrees with it.
     */
    async locate(
        req: KeyLookupRequest,
        ownCopy?: string,
        decide: SearchDecision = () => undefined,
    ): Promise<KeyLookupAnswer | undefined> {
        const key = getKey(req);
        this.toldPending.set(key, new Set());
        try {
            const answers = await this.search(req, ownCopy);
            const found = this.choose(answers, ownCopy, this.toldPending.get(key) ?? new Set());
            decide(found);
            return found;
        }
        finally {
            this.toldPending.delete(key);
        }
    }

    private async search(req: KeyLookupRequest, ownCopy: string | undefined): Promise<readonly PeerAnswer[]> {
        const peers = this.opts.hub.peers();
        const earlier = await this.announce(req);
        if (earlier === undefined) {
            return await this.askAll(peers, req);
        }
        const takers = new Set(ownCopy === undefined ? earlier : [...earlier, ownCopy]);
        const able = [...takers].flatMap(taker => peers.find(peer => peer.incarnation === taker) ?? []);
        const answers = await this.askAll(able, req);
        // Of one that cannot be asked its copy holder may know, or whoever has closed it.
        const others = answers.length === takers.size ? [] : peers.filter(peer => !able.includes(peer));
        return [...answers, ...await this.askAll(others, req)];
    }

    /**
     * Tells the homes of a key that it is taken here. Returns the incarnations that took it before; undefined where the
     * fleet is small or no home can be reached.
     */
    async announce(req: KeyLookupRequest): Promise<readonly string[] | undefined> {
        if (this.opts.hub.peers().length <= (this.opts.askAllUpTo ?? DEFAULT_ASK_ALL_UP_TO)) {
            return undefined;
        }
        const told = await Promise.allSettled(this.opts.getHomes(req).map(home => this.tell(home, req)));
        const answers = told.filter(result => result.status === "fulfilled").map(result => result.value);
        return answers.length === 0 ? undefined : [...new Set(answers.flat())];
    }

    private async tell(home: InstanceInfo, { team, requestKey }: KeyLookupRequest): Promise<readonly string[]> {
        const { hub } = this.opts;
        const runner = hub.self().incarnation;
        const announcement = { team, requestKey, runner };
        if (home.incarnation === runner) {
            return this.directory.announce(announcement);
        }
        const answer = await hub.request(home.incarnation, "claims.announce", announcement, this.timeoutMs);
        return answer.earlier;
    }

    private choose(
        answers: readonly PeerAnswer[],
        ownCopy: string | undefined,
        told: ReadonlySet<string>,
    ): KeyLookupAnswer | undefined {
        // A holder that was asked knows better than a copy, which may have missed the end.
        const asked = new Set(answers.map(answer => answer.peer));
        const own: readonly KeyLookupAnswer[] = ownCopy === undefined
            ? []
            : [{ state: "copied", caller: this.opts.hub.self().caller, holder: ownCopy }];
        const known = [...answers.map(({ answer }) => answer), ...own]
            .filter(answer => answer.state !== "none" && answer.state !== "pending")
            .filter(answer => answer.state !== "copied" || answer.holder === undefined || !asked.has(answer.holder));
        const best = known.toSorted((a, b) => PRECEDENCE.indexOf(a.state) - PRECEDENCE.indexOf(b.state))[0];
        return best ?? this.chooseOfPending(answers, told);
    }

    /**
     * Of instances that search at the same time each knows of those that it was told of. One that was told of this one
     * gives way to it if this one's incarnation comes first; one that was not told will run the request.
     */
    private chooseOfPending(answers: readonly PeerAnswer[], told: ReadonlySet<string>): KeyLookupAnswer | undefined {
        const own = this.opts.hub.self().incarnation;
        const ahead = answers.filter(({ answer, peer }) =>
            answer.state === "pending" && (peer < own || !told.has(peer))
        );
        return ahead.toSorted((a, b) => a.peer < b.peer ? -1 : 1)[0]?.answer;
    }

    /** The answers of the peers that can be reached. */
    private async askAll(peers: readonly InstanceInfo[], req: KeyLookupRequest): Promise<readonly PeerAnswer[]> {
        const settled = await Promise.allSettled(peers.map(peer => this.ask(peer, req)));
        return settled.filter(result => result.status === "fulfilled").map(result => result.value);
    }

    private async ask(peer: InstanceInfo, req: KeyLookupRequest): Promise<PeerAnswer> {
        const answer = await this.opts.hub.request(peer.incarnation, "claims.lookup", req, this.timeoutMs);
        return { peer: peer.incarnation, answer };
    }

    private get timeoutMs(): number {
        return this.opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }
}
