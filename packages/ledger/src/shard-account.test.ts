import { EtcdKvClient } from "@ospreyreel/kv";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ExactGrantSize } from "./grant-size-policy.js";
import { emptyHead } from "./head-record.js";
import { type Claim, getJournalKey } from "./journal-entry.js";
import { LedgerKeys } from "./ledger-keys.js";
import { ShardAccount } from "./shard-account.js";
import { ShardGuard } from "./shard-guard.js";
import { ShardStore } from "./shard-store.js";
import type { ShardTransform, ShardView } from "./shard-view.js";

const CLAIM: Claim = { team: "team", requestKey: "k", incarnation: "x", intentId: "i" };
/** More turns of the microtask queue than an account takes to finish after its write has ended. */
const MAX_TURNS = 20;

class OpenGuard extends ShardGuard {
    override getCompare(): { readonly key: string; readonly modRevision: number; } {
        return { key: "/test/incarnations/x", modRevision: 1 };
    }

    override recheck(): void {
        // Nothing else writes here.
    }
}

/** An in-memory shard whose writes succeed immediately. */
class MemoryStore extends ShardStore {
    private current: ShardView = { head: emptyHead, modRevision: 0, bills: new Map(), claims: new Map() };

    /** Called with each write. */
    onWrite: () => void = () => undefined;

    override commit(transform: ShardTransform): Promise<ShardView> {
        const { head, entries } = transform(this.current);
        const claims = new Map(this.current.claims);
        for (const entry of entries) {
            if (entry.kind === "claim") {
                claims.set(getJournalKey(entry.claim.team, entry.claim.requestKey), entry.claim);
            }
        }
        this.current = { ...this.current, head: head ?? this.current.head, claims };
        this.onWrite();
        return Promise.resolve(this.current);
    }
}

const startRig = (t: ExecutionContext): { readonly store: MemoryStore; readonly account: ShardAccount; } => {
    const counters = new Counters();
    const kv = new EtcdKvClient({ endpoints: ["http://127.0.0.1:1"], counters });
    t.teardown(() => kv.close());
    const store = new MemoryStore({ kv, keys: new LedgerKeys("/test", 1), shard: 0, counters, billWindowS: 60 });
    const account = new ShardAccount({
        store,
        incarnation: "x",
        guard: new OpenGuard(),
        budgets: () => ({ prepaid: 1_000, revision: 1 }),
        policy: new ExactGrantSize(),
        counters,
        isGatherer: () => true,
        onFlushed: () => undefined,
    });
    return { store, account };
};

/** Calls a function after a number of turns of the microtask queue. */
const afterTurns = async (turns: number, call: () => void): Promise<void> => {
    for (let turn = 0; turn < turns; turn++) {
        await Promise.resolve();
    }
    call();
};

for (let turns = 0; turns < MAX_TURNS; turns++) {
    test(`a claim made ${turns} turns after the end of another write is written`, async t => {
        const { store, account } = startRig(t);
        let standing: Claim | undefined;
        store.onWrite = () => {
            store.onWrite = () => undefined;
            void afterTurns(turns, () => {
                void account.claim(CLAIM).then(claim => standing = claim);
            });
        };
        t.true(await account.reserve("b", 10, new AbortController().signal));
        // All microtasks have run by the next turn of the event loop.
        await nextTurn();
        t.deepEqual(standing, CLAIM);
    });
}
