import type { CopyStore } from "./copy-store.js";
import { getFree, getGrantedTokens, getSealedTokens } from "./head-math.js";
import type { HeadRecord } from "./head-record.js";
import type { Session } from "./session.js";
import type { ShardStore } from "./shard-store.js";

/** A budget's figures in the record as last read, in tokens. */
export interface BudgetFigures {
    readonly prepaid: number;
    /** Tokens used by closed incarnations and settled by open ones, plus `unproved`. */
    readonly spent: number;
    readonly free: number;
    readonly granted: number;
    /** Intents of closed incarnations whose use is not proved yet. */
    readonly sealed: number;
    /** Part of `spent` whose use was not proved and can no longer be proved. */
    readonly unproved: number;
    readonly holders: readonly string[];
}

/** The ledger's part of a state dump. */
export interface LedgerDump {
    readonly incarnation: string | undefined;
    readonly registered: boolean;
    readonly copyHolder: string | undefined;
    readonly openIntents: number;
    readonly copiesHeld: readonly { readonly holder: string; readonly sealed: boolean; readonly intents: number; }[];
    readonly budgets: Readonly<Record<string, BudgetFigures>>;
    /** This incarnation's own grants by budget. */
    readonly grants: Readonly<Record<string, unknown>>;
}

const getBudgetFigures = (head: HeadRecord, budget: string): BudgetFigures => {
    const record = head.budgets[budget];
    const settled = Object.values(head.open).reduce((sum, open) => sum + (open.grants[budget]?.settled ?? 0), 0);
    return {
        prepaid: record?.prepaid ?? 0,
        spent: (record?.spent ?? 0) + settled,
        free: getFree(head, budget),
        granted: getGrantedTokens(head, budget) - settled,
        sealed: getSealedTokens(head, budget),
        unproved: record?.unproved ?? 0,
        holders: Object.keys(head.open).filter(id => head.open[id]?.grants[budget] !== undefined),
    };
};

/** Creates the dump from the records as last read. */
export const getLedgerDump = (
    stores: readonly ShardStore[],
    session: Session | undefined,
    copies: CopyStore,
): LedgerDump => {
    const heads = stores.map(store => store.getView()?.head).filter(head => head !== undefined);
    const budgets = heads.flatMap(head =>
        Object.keys(head.budgets).map(budget => [budget, getBudgetFigures(head, budget)] as const)
    );
    const accounts = [...(session?.listAccounts().values() ?? [])];
    return {
        incarnation: session?.incarnation,
        registered: session?.usable ?? false,
        copyHolder: session?.link.copyHolder,
        openIntents: session?.countIntents() ?? 0,
        copiesHeld: copies.list().map(({ holder, sealed, intents }) => ({ holder, sealed, intents: intents.length })),
        budgets: Object.fromEntries(budgets),
        grants: Object.assign({}, ...accounts.map(account => account.getSnapshot())) as Record<string, unknown>,
    };
};
