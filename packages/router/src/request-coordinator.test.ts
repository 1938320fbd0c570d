import { RequestRegistry } from "@ospreyreel/claims";
import { Counters } from "@ospreyreel/telemetry";
import type { KeyState } from "@ospreyreel/types";
import test from "ava";
import { RequestCoordinator, type RequestCoordinatorOptions } from "./request-coordinator.js";

const REQUEST = { team: "alpha", budget: "alpha", requestKey: "k" };
const IDENTITY = { team: "alpha", requestKey: "k", fingerprint: "f" };

type LedgerState = "sealed" | "copied" | "billed" | "none";

/** Returns the state of a key of which the ledger knows this, while a request for it waits here for its lookups. */
const getStateOfPending = (state: LedgerState): KeyState => {
    const registry = new RequestRegistry({ counters: new Counters() });
    registry.add(IDENTITY, { pending: true });
    const ledger = {
        findSealed: () => state === "sealed" ? {} : undefined,
        findBilled: () => state === "billed" ? {} : undefined,
        copies: { find: () => state === "copied" ? { copy: { holder: "first" } } : undefined },
    };
    const opts = { registry, ledger } as unknown as RequestCoordinatorOptions;
    return new RequestCoordinator(opts).getKeyStatus(REQUEST).state;
};

test("an instance that searches for a key itself still reports what it knows of an earlier run", t => {
    const states: readonly LedgerState[] = ["sealed", "copied", "billed"];
    t.deepEqual(states.map(getStateOfPending), states);
    t.is(getStateOfPending("none"), "pending");
});
