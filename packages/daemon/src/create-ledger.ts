import { getPrepaidTokens, type Settings } from "@ospreyreel/config";
import { AdaptiveGrantSize, type BudgetTerms, Ledger, LedgerKeys } from "@ospreyreel/ledger";
import { AddressBook, chooseCopyHolder, RendezvousAddressOrder } from "@ospreyreel/peer";
import { createLog } from "@ospreyreel/telemetry";
import { BudgetShares } from "./budget-shares.js";
import type { DaemonComponents } from "./daemon-components.js";
import { EngineLookup } from "./engine-lookup.js";

/** Creates the address book from this instance's view of the fleet. */
export const createAddressBook = (cfg: Settings, base: Pick<DaemonComponents, "hub" | "config">): AddressBook => {
    const { hub, config } = base;
    const keys = new LedgerKeys(cfg.kv.prefix, cfg.ledger.shards);
    const shares = new BudgetShares(() => config.current());
    return new AddressBook({
        getInstances: () => [hub.self(), ...hub.peers()],
        policy: new RendezvousAddressOrder(),
        shards: keys.shards,
        shardOf: budget => keys.shardOf(budget),
        getBudgetShare: budget => shares.get(budget),
    });
};

/** Creates the ledger from the daemon's components, with budgets from the active document. */
export const createLedger = (
    cfg: Settings,
    base: Pick<DaemonComponents, "kv" | "hub" | "config" | "client" | "counters"> & { readonly book: AddressBook; },
): Ledger => {
    const getTerms = (name: string): BudgetTerms | undefined => {
        const current = base.config.current();
        const budget = current?.document.budgets.find(candidate => candidate.name === name);
        return current === undefined || budget === undefined
            ? undefined
            : { prepaid: getPrepaidTokens(budget), revision: current.revision };
    };
    return new Ledger({
        ...cfg.ledger,
        getGathererIncarnation: budget => base.book.getGathererIncarnation(budget),
        kv: base.kv,
        hub: base.hub,
        prefix: cfg.kv.prefix,
        budgets: getTerms,
        chooseCopyHolder,
        lookup: new EngineLookup(base.client),
        policy: new AdaptiveGrantSize(),
        counters: base.counters,
        log: createLog("ledger"),
        sealDelayMs: Math.max(0, cfg.fleet.sealAfterMs - cfg.fleet.peerTimeoutMs),
    });
};
