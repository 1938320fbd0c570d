import { startEngineStandIn } from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import { RandomChoice } from "../choice/random-choice.js";
import { RandomSource } from "../choice/random-source.js";
import { TargetClient } from "../client/target-client.js";
import { createDocument, createTarget } from "../fixtures/create-document.js";
import { LoadPoller } from "./load-poller.js";
import { getPrefixHash } from "./prefix-hash.js";
import { TargetPool } from "./target-pool.js";

test("a poll reads load, cache events and the leaving state; an unreachable engine is counted", async t => {
    const engine = await startEngineStandIn({ capacity: 2, firstTokenMs: 60_000 });
    const counters = new Counters();
    const client = new TargetClient({ counters });
    const pool = new TargetPool({ policy: new RandomChoice(new RandomSource(1)), counters });
    const poller = new LoadPoller({ pool, client, counters, pollMs: 5000 });
    t.teardown(() => client.close());
    const target = createTarget("ahd-1", { url: engine.url });
    pool.setDocument(createDocument([target]));
    const body = JSON.stringify({ prompt: "pump", stream: true });
    const stream = await client.openStream({ target, path: "/v1/completions", body, streamId: "s1" });
    await poller.pollOnce();
    t.like(pool.dump(), [{ target: "ahd-1", others: 1, leaving: false }]);
    engine.faults.leaving = true;
    await poller.pollOnce();
    t.is(pool.getOfferingState({ offering: "draft" }), "none");
    await engine.close();
    await t.throwsAsync(async () => {
        for await (const event of stream.events) {
            t.fail(event.data);
        }
    });
    await poller.pollOnce();
    t.is(counters.get("target_load_polls_failed"), 1);
    t.is(getPrefixHash("pump").length, 16);
});
