import type { KvClient } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters, Log } from "@ospreyreel/telemetry";
import type { BudgetSource } from "./budget-source.js";
import type { CopyHolderChoice } from "./copy-link.js";
import type { GrantSizePolicy } from "./grant-size-policy.js";
import type { StreamLookup } from "./stream-lookup.js";

/** Options of {@link Ledger}. */
export interface LedgerOptions {
    readonly kv: KvClient;
    readonly hub: PeerHub;
    readonly prefix: string;
    readonly budgets: BudgetSource;
    readonly chooseCopyHolder: CopyHolderChoice;
    readonly lookup: StreamLookup;
    readonly policy: GrantSizePolicy;
    readonly counters: Counters;
    readonly log: Log;
    readonly shards?: number;
    readonly flushIntervalMs?: number;
    readonly billWindowS?: number;
    /** Time for which a holder is missing from the peers before its copy is sealed; 1,000 by default. */
    readonly sealDelayMs?: number;
    /** Time after which an unused grant is returned; 60,000 by default. */
    readonly idleGrantMs?: number;
    /**
     * Returns the incarnation of the instance at which the remainder of a budget is gathered near its end; the own one
     * or undefined where it is this instance.
     */
    readonly getGathererIncarnation?: (budget: string) => string | undefined;
    /** How often idle grants are recalled from peers before a request is refused; 2 by default. */
    readonly recallRounds?: number;
    /** Longest wait of a reservation for a draw, in milliseconds; 2,000 by default. */
    readonly drawTimeoutMs?: number;
}
