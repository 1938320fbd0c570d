import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetSealRequest } from "@ospreyreel/types";
import type { BudgetWitness } from "./budget-witness.js";

/** Options of {@link OwnerSearch}. */
export interface OwnerSearchOptions {
    readonly hub: PeerHub;
    /** Epoch in which this instance owns a shard; undefined where it does not. */
    readonly getOwnEpoch: (shard: number) => number | undefined;
    /** This instance as a witness of other owners. */
    readonly witness: Pick<BudgetWitness, "seal">;
}

/** What peers know of a shard's owner. */
export interface FoundOwner {
    /** Incarnation of the live owner with the latest epoch; undefined where none is known. */
    readonly owner: string | undefined;
    /** Whether all peers have answered. */
    readonly areAllHeard: boolean;
}

/** Longest wait for a peer, in milliseconds; several round trips. */
const LOCATE_TIMEOUT_MS = 250;

/** Asks all peers who owns a shard, for records that a restore of the KV service has lost. */
export class OwnerSearch {
    constructor(private readonly opts: OwnerSearchOptions) {}

    /** Registers the handler for searches of peers. */
    serve(): void {
        const { hub, getOwnEpoch } = this.opts;
        hub.handle("budget.locate", ({ shard }) => Promise.resolve({ epoch: getOwnEpoch(shard) }));
    }

    /** Has all instances reject notes of owners up to an epoch; returns whether all peers did. Does not throw. */
    async sealAll(req: BudgetSealRequest): Promise<boolean> {
        const { hub, witness } = this.opts;
        witness.seal(req);
        const responses = await Promise.allSettled(
            hub.peers().map(({ incarnation }) => hub.request(incarnation, "budget.seal", req, LOCATE_TIMEOUT_MS)),
        );
        return responses.every(response => response.status === "fulfilled");
    }

    /** Finds the live owner of a shard; does not throw. */
    async find(shard: number): Promise<FoundOwner> {
        const { hub } = this.opts;
        const peers = hub.peers();
        const responses = await Promise.allSettled(
            peers.map(async ({ incarnation }) => {
                const { epoch } = await hub.request(incarnation, "budget.locate", { shard }, LOCATE_TIMEOUT_MS);
                return { incarnation, epoch };
            }),
        );
        const owners = responses
            .flatMap(response => response.status === "fulfilled" ? [response.value] : [])
            .filter(({ epoch }) => epoch !== undefined)
            .toSorted((a, b) => (b.epoch ?? 0) - (a.epoch ?? 0));
        return {
            owner: owners[0]?.incarnation,
            areAllHeard: responses.every(response => response.status === "fulfilled"),
        };
    }
}
