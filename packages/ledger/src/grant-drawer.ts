import { OspreyError } from "@ospreyreel/errors";
import { getGrantedTokens } from "./head-math.js";
import type { HeadRecord } from "./head-record.js";
import type { LedgerOptions } from "./ledger-options.js";
import type { Session } from "./session.js";
import type { ShardStores } from "./shard-stores.js";
import { Shortages } from "./shortages.js";
import { untilAborted } from "./until-aborted.js";

/** Options of {@link GrantDrawer}. */
export interface GrantDrawerOptions {
    readonly ledger: Pick<
        LedgerOptions,
        "hub" | "counters" | "budgets" | "getGathererIncarnation" | "recallRounds" | "drawTimeoutMs"
    >;
    readonly stores: ShardStores;
}

const RECALL_TIMEOUT_MS = 500;
const DEFAULT_RECALL_ROUNDS = 2;
const DEFAULT_DRAW_TIMEOUT_MS = 2_000;

/** Reserves from a session's grants and draws missing tokens from the record, near a budget's end also from peers. */
export class GrantDrawer {
    private readonly shortages = new Shortages();

    constructor(private readonly opts: GrantDrawerOptions) {}

    /**
     * Reserves tokens. Throws `ledgerUnavailable` where no grant is available now, `budgetReserved` where running
     * requests hold the remainder, `budgetExhausted` where too little remains.
     */
    async reserve(session: Session, budget: string, tokens: number): Promise<void> {
        if (session.getAccount(budget).reserveFromGrant(budget, tokens)) {
            return;
        }
        const revision = this.opts.ledger.budgets(budget)?.revision ?? 0;
        if (this.shortages.isShort(budget, tokens, revision)) {
            throw this.getRefusal(session, budget, tokens);
        }
        if (!await this.draw(session, budget, tokens)) {
            this.shortages.record(budget, tokens, revision);
            throw this.getRefusal(session, budget, tokens);
        }
    }

    /** Incarnation of the peer at which the remainder of a budget is gathered; undefined where it is this instance. */
    getGathererIncarnation(budget: string): string | undefined {
        const { hub, getGathererIncarnation } = this.opts.ledger;
        const gatherer = getGathererIncarnation?.(budget);
        return hub.peers().some(peer => peer.incarnation === gatherer) ? gatherer : undefined;
    }

    private async draw(session: Session, budget: string, tokens: number): Promise<boolean> {
        const { counters, drawTimeoutMs = DEFAULT_DRAW_TIMEOUT_MS } = this.opts.ledger;
        const signal = AbortSignal.timeout(drawTimeoutMs);
        try {
            return await this.tryReserve(session, budget, tokens, signal);
        }
        catch (err) {
            if (err === signal.reason) {
                counters.add("ledger_draw_timeouts");
            }
            throw new OspreyError("no grant can be drawn now", { result: "ledgerUnavailable", cause: err });
        }
    }

    /**
     * Tries the cached record; then, where the remainder of the budget is gathered here, a fresh one, also after peers
     * have returned their idle tokens. The signal ends every step: a refused request reserves nothing.
     */
    private async tryReserve(
        session: Session,
        budget: string,
        tokens: number,
        signal: AbortSignal,
    ): Promise<boolean> {
        const account = session.getAccount(budget);
        const reserve = (): Promise<boolean> => session.runStep(() => account.reserve(budget, tokens, signal));
        if (await reserve()) {
            return true;
        }
        if (this.getGathererIncarnation(budget) !== undefined) {
            return false;
        }
        const store = this.opts.stores.getOf(budget);
        await untilAborted(store.refresh(), signal);
        if (await reserve()) {
            return true;
        }
        const recall = (): Promise<number> => untilAborted(this.recallFromPeers(budget), signal);
        const rounds = this.opts.ledger.recallRounds ?? DEFAULT_RECALL_ROUNDS;
        for (let round = 0; round < rounds && await recall() > 0; round++) {
            await untilAborted(store.refresh(), signal);
            if (await reserve()) {
                return true;
            }
        }
        return false;
    }

    private async recallFromPeers(budget: string): Promise<number> {
        const { hub, counters } = this.opts.ledger;
        const head = this.getHead(budget);
        const holders = hub.peers().filter(peer => head?.open[peer.incarnation]?.grants[budget] !== undefined);
        counters.add("ledger_recalls");
        const responses = await Promise.allSettled(
            holders.map(peer => hub.request(peer.incarnation, "ledger.recall", { budget }, RECALL_TIMEOUT_MS)),
        );
        return responses.reduce(
            (sum, response) => sum + (response.status === "fulfilled" ? response.value.released : 0),
            0,
        );
    }

    private getRefusal(session: Session, budget: string, tokens: number): OspreyError {
        const result = this.getTokensElsewhere(session, budget) > 0 ? "budgetReserved" : "budgetExhausted";
        return new OspreyError(`the request may need ${tokens} tokens, more than is free of its budget`, { result });
    }

    private getTokensElsewhere(session: Session, budget: string): number {
        const head = this.getHead(budget);
        if (head === undefined) {
            return 0;
        }
        const own = session.getAccount(budget).getAvailable(budget);
        const settled = Object.values(head.open).reduce((sum, open) => sum + (open.grants[budget]?.settled ?? 0), 0);
        return getGrantedTokens(head, budget) - settled - own;
    }

    private getHead(budget: string): HeadRecord | undefined {
        return this.opts.stores.getOf(budget).getView()?.head;
    }
}
