import { CopyLink } from "./copy-link.js";
import { IncarnationGuard } from "./incarnation-guard.js";
import type { LedgerOptions } from "./ledger-options.js";
import { Session } from "./session.js";
import { ShardAccount } from "./shard-account.js";
import type { ShardStores } from "./shard-stores.js";

/** Dependencies that all sessions of one ledger share. */
export interface SessionBase {
    readonly ledger: Pick<
        LedgerOptions,
        "kv" | "hub" | "budgets" | "policy" | "counters" | "log" | "chooseCopyHolder"
    >;
    readonly stores: ShardStores;
    /** Whether the remainder of a budget is gathered at this instance near its end. */
    readonly isGatherer: (budget: string) => boolean;
}

/** Creates the session of an incarnation with its accounts and the link to its copy. */
export const createSession = (
    { ledger, stores, isGatherer }: SessionBase,
    incarnation: string,
): Session => {
    const { kv, hub, budgets, policy, counters, log, chooseCopyHolder: choose } = ledger;
    const guard = new IncarnationGuard({ kv, keys: stores.keys, incarnation });
    const { instance } = hub.self();
    const createAccount = (session: Session, shard: number): ShardAccount => {
        const store = stores.get(shard);
        const onFlushed = (finishSeq: number): void => {
            void session.link.append({ kind: "flushed", shard, finishSeq }).catch(() => undefined);
        };
        return new ShardAccount({
            store,
            incarnation,
            guard,
            budgets,
            policy,
            counters,
            onFlushed,
            isGatherer,
        });
    };
    const createLink = (session: Session): CopyLink =>
        new CopyLink({
            hub,
            guard,
            instance,
            incarnation,
            choose,
            getSnapshot: () => session.getSnapshot(),
            onAccepted: entries => session.confirmAccepted(entries),
            counters,
            log,
        });
    return new Session({
        incarnation,
        guard,
        shardOf: budget => stores.keys.shardOf(budget),
        createAccount,
        createLink,
    });
};
