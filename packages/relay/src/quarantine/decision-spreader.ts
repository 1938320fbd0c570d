import type { PeerHub } from "@ospreyreel/peer";
import { setTimeout as sleep } from "node:timers/promises";
import type { DecisionBook } from "./decision-book.js";

/** Options of {@link DecisionSpreader}. */
export interface DecisionSpreaderOptions {
    readonly hub: Pick<PeerHub, "request" | "peers">;
    readonly book: DecisionBook;
    /** Called when an answer with a quarantined part has begun at another instance. */
    readonly onAnswered: (part: string) => void;
}

/** Maximum number of peers that are told at the same time. */
const MAX_CONCURRENT = 16;

/** Timeout of one announcement, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 500;

/** Time between two rounds to the peers that have not responded, in milliseconds. */
const ROUND_INTERVAL_MS = 300;

/** Number of rounds; peers that stay out of reach learn the decision when they join again. */
const MAX_ROUNDS = 30;

/** Announces decisions about prompt parts to all other instances. */
export class DecisionSpreader {
    constructor(private readonly opts: DecisionSpreaderOptions) {}

    /** Announces the last decision about a part, until all peers have it or a later one replaces it. Does not throw. */
    async spread(part: string): Promise<void> {
        const { hub, book } = this.opts;
        const first = book.getChangedAtMs(part);
        const told = new Set<string>();
        for (let round = 0; round < MAX_ROUNDS; round++) {
            const pending = hub.peers().map(peer => peer.incarnation).filter(peer => !told.has(peer));
            const worker = async (): Promise<void> => {
                for (let peer = pending.pop(); peer !== undefined; peer = pending.pop()) {
                    if (book.getChangedAtMs(part) !== first) {
                        return;
                    }
                    if (await this.announce(part, peer)) {
                        told.add(peer);
                    }
                }
            };
            await Promise.all([...Array(Math.min(MAX_CONCURRENT, pending.length)).keys()].map(worker));
            const isReplaced = book.getChangedAtMs(part) !== first;
            if (isReplaced || hub.peers().every(peer => told.has(peer.incarnation))) {
                return;
            }
            await sleep(ROUND_INTERVAL_MS, undefined, { ref: false });
        }
    }

    /** Announces to one peer; returns whether it responded. */
    private async announce(part: string, peer: string): Promise<boolean> {
        const { hub, book, onAnswered } = this.opts;
        const decision = book.getDecision(part);
        if (decision === undefined) {
            return true;
        }
        try {
            const { answered } = await hub.request(
                peer,
                "parts.decide",
                { decisions: [decision] },
                ANNOUNCE_TIMEOUT_MS,
            );
            answered.forEach(({ part: sound }) => onAnswered(sound));
            return true;
        }
        catch {
            // Tried again in the next round.
            return false;
        }
    }
}
