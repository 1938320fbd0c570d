import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { Counters, createLog } from "@ospreyreel/telemetry";
import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { CopyLink } from "./copy-link.js";
import { CopyStore } from "./copy-store.js";
import { createIntent } from "./fixtures.js";
import type { IncarnationGuard } from "./incarnation-guard.js";

/** More turns of the microtask queue than an append takes. */
const MAX_TURNS = 30;
/** More turns of the event loop than an in-memory append takes. */
const LOOP_TURNS = 20;

const createLink = async (withPeer: boolean): Promise<CopyLink> => {
    const network = new MemoryNetwork();
    const hub = network.createHub("a", "zone-a");
    if (withPeer) {
        new CopyStore(() => 0).serve(network.createHub("b", "zone-b"));
    }
    const guard = { write: () => Promise.resolve(), current: undefined } as unknown as IncarnationGuard;
    const link = new CopyLink({
        hub,
        guard,
        instance: "a",
        incarnation: hub.self().incarnation,
        choose: (_, candidates) => candidates[0],
        getSnapshot: () => [],
        onAccepted: () => undefined,
        counters: new Counters(),
        log: createLog("test"),
    });
    await link.register();
    return link;
};

const createEntry = (id: string) =>
    ({ kind: "intent", intent: { ...createIntent(id), budget: "b", reserved: 1 } }) as const;

for (const withPeer of [true, false]) {
    for (let turns = 0; turns < MAX_TURNS; turns++) {
        const peer = withPeer ? "a copy holder" : "no peer";
        test(`with ${peer} an entry appended ${turns} turns after another one is acknowledged`, async t => {
            const link = await createLink(withPeer);
            void link.append(createEntry("first"));
            for (let turn = 0; turn < turns; turn++) {
                await Promise.resolve();
            }
            let acknowledged = false;
            void link.append(createEntry("second")).then(() => {
                acknowledged = true;
            });
            for (let turn = 0; turn < LOOP_TURNS && !acknowledged; turn++) {
                await nextTurn();
            }
            t.true(acknowledged);
        });
    }
}
