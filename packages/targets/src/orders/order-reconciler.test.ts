import type { Target } from "@ospreyreel/config";
import {
    type EngineOptions,
    type EngineStandIn,
    startEngineStandIn,
    startWeightStoreStandIn,
} from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { TargetClient } from "../client/target-client.js";
import { createDocument, createOffering, createTarget } from "../fixtures/create-document.js";
import { ManualClock } from "../fixtures/manual-clock.js";
import { MemoryKvClient } from "../fixtures/memory-kv-client.js";
import { PausableSender } from "../fixtures/pausable-sender.js";
import { createDesiredStates } from "./desired-state.js";
import { LoadRateLimiter, type LoadRateLimiterOptions } from "./load-rate-limiter.js";
import { OrderLease } from "./order-lease.js";
import { type OrderedDocument, OrderReconciler } from "./order-reconciler.js";
import { HttpOrderSender } from "./order-sender.js";

const TTL_S = 10;
const MARGIN_MS = 2000;
const MAX_ORDER_DELAY_MS = 5000;
const VERIFY_INTERVAL_MS = 3000;

interface Fleet {
    readonly clock: ManualClock;
    readonly kv: MemoryKvClient;
    readonly client: TargetClient;
}

interface Holder {
    readonly keeper: OrderReconciler;
    readonly sender: PausableSender;
    readonly counters: Counters;
}

const createFleet = (t: ExecutionContext): Fleet => {
    const clock = new ManualClock();
    const client = new TargetClient({ counters: new Counters() });
    t.teardown(() => client.close());
    return { clock, kv: new MemoryKvClient(clock.now), client };
};

const createHolder = (
    { clock, kv, client }: Fleet,
    holder: string,
    ordered: OrderedDocument,
    loads: LoadRateLimiterOptions = { loadsPerS: 1000, burst: 100 },
): Holder => {
    const sender = new PausableSender(new HttpOrderSender(client));
    const counters = new Counters();
    const keeper = new OrderReconciler({
        lease: new OrderLease({ kv, prefix: "osprey", holder, ttlS: TTL_S, now: clock.now }),
        sender,
        loadRateLimiter: new LoadRateLimiter({ ...loads, now: clock.now }),
        counters,
        getDocument: () => ordered,
        marginMs: MARGIN_MS,
        maxOrderDelayMs: MAX_ORDER_DELAY_MS,
        verifyIntervalMs: VERIFY_INTERVAL_MS,
        now: clock.now,
    });
    // The bucket of loads starts empty, so time passes before the first order.
    clock.advance(100);
    return { keeper, sender, counters };
};

const startEngine = async (t: ExecutionContext, opts: EngineOptions = {}): Promise<EngineStandIn> => {
    const engine = await startEngineStandIn(opts);
    t.teardown(engine.close);
    return engine;
};

const createOrdered = (revision: number, targets: readonly Target[], version: string): OrderedDocument => ({
    revision,
    document: createDocument(targets, [createOffering("draft", targets.map(target => target.name), { version })]),
});

const getVersion = (engine: EngineStandIn): string | undefined => engine.orders.desired?.models[0]?.version;

test("engines are set to the document's state, and again after they lost it", async t => {
    const fleet = createFleet(t);
    const engine = await startEngine(t);
    const target = createTarget("ahd-1", { url: engine.url });
    const ordered = createOrdered(1, [target], "v1");
    const { keeper, counters } = createHolder(fleet, "a", ordered);
    await keeper.step();
    t.deepEqual(engine.orders.desired, createDesiredStates(ordered.document).get("ahd-1"));
    engine.orders.apply({ models: [] });
    await keeper.step();
    t.is(counters.get("orders_sent"), 1);
    fleet.clock.advance(VERIFY_INTERVAL_MS);
    await keeper.step();
    t.is(getVersion(engine), "v1");
    t.is(counters.get("orders_sent"), 2);
});

test("orders are sent also where the clock returns fractions of milliseconds", async t => {
    const fleet = createFleet(t);
    const engine = await startEngine(t);
    const target = createTarget("ahd-1", { url: engine.url });
    const { keeper, counters } = createHolder(fleet, "a", createOrdered(1, [target], "v1"));
    await keeper.step();
    engine.orders.apply({ models: [] });
    fleet.clock.advance(VERIFY_INTERVAL_MS + 0.5);
    await keeper.step();
    t.is(getVersion(engine), "v1");
    t.is(counters.get("orders_failed"), 0);
});

test("a paused holder's order is rejected by an engine that checks the fencing number", async t => {
    const fleet = createFleet(t);
    const engine = await startEngine(t, { checksFencing: true });
    const target = createTarget("ahd-1", { url: engine.url, checksFencing: true });
    const a = createHolder(fleet, "a", createOrdered(1, [target], "v1"));
    const b = createHolder(fleet, "b", createOrdered(2, [target], "v2"));
    const { reached, resume } = a.sender.pause();
    const pausedStep = a.keeper.step();
    await reached;
    fleet.clock.advance(TTL_S * 1000);
    await b.keeper.step();
    t.is(getVersion(engine), "v2");
    resume();
    await pausedStep;
    t.is(getVersion(engine), "v2");
    t.is(a.counters.get("orders_fenced"), 1);
});

test("a paused holder's order to an engine that ignores fencing numbers is undone at the next read-back", async t => {
    const fleet = createFleet(t);
    const engine = await startEngine(t);
    const target = createTarget("ahd-1", { url: engine.url });
    const a = createHolder(fleet, "a", createOrdered(1, [target], "v1"));
    const b = createHolder(fleet, "b", createOrdered(2, [target], "v2"));
    const { reached, resume } = a.sender.pause();
    const pausedStep = a.keeper.step();
    await reached;
    fleet.clock.advance(TTL_S * 1000);
    await b.keeper.step();
    t.is(engine.orders.log.length, 0, "the next holder waits for the maximum order delay");
    fleet.clock.advance(MAX_ORDER_DELAY_MS);
    await b.keeper.step();
    t.is(getVersion(engine), "v2");
    resume();
    await pausedStep;
    t.is(getVersion(engine), "v1", "no check can prevent this order");
    fleet.clock.advance(VERIFY_INTERVAL_MS);
    await a.keeper.step();
    await b.keeper.step();
    t.is(getVersion(engine), "v2");
    t.is(engine.orders.log.length, 3);
});

test("near its lease's end a holder sends orders only to engines that check the fencing number", async t => {
    const fleet = createFleet(t);
    const [checking, ignoring] = await Promise.all([startEngine(t, { checksFencing: true }), startEngine(t)]);
    const targets = [
        createTarget("ahd-1", { url: checking.url, checksFencing: true }),
        createTarget("vad-1", { url: ignoring.url }),
    ];
    const { keeper } = createHolder(fleet, "a", createOrdered(1, targets, "v1"));
    await keeper.step();
    checking.orders.apply({ models: [] });
    ignoring.orders.apply({ models: [] });
    fleet.kv.down = true;
    fleet.clock.advance(TTL_S * 1000 - MARGIN_MS);
    await keeper.step();
    t.is(getVersion(checking), "v1");
    t.is(getVersion(ignoring), undefined);
    checking.orders.apply({ models: [] });
    fleet.clock.advance(MARGIN_MS);
    await keeper.step();
    t.is(getVersion(checking), undefined);
});

test("a holder whose document is older than the last ordered one sends no orders", async t => {
    const fleet = createFleet(t);
    const engine = await startEngine(t);
    const target = createTarget("ahd-1", { url: engine.url });
    const newer = createHolder(fleet, "a", createOrdered(2, [target], "v2"));
    const older = createHolder(fleet, "b", createOrdered(1, [target], "v1"));
    await newer.keeper.step();
    fleet.clock.advance(TTL_S * 1000);
    await older.keeper.step();
    fleet.clock.advance(MAX_ORDER_DELAY_MS);
    await older.keeper.step();
    t.is(getVersion(engine), "v2");
    t.is(older.counters.get("orders_sent"), 0);
});

test("loads are rate-limited so that the weight store rejects none", async t => {
    const fleet = createFleet(t);
    const store = await startWeightStoreStandIn({ loadsPerS: 1, burst: 2, now: fleet.clock.now });
    t.teardown(store.close);
    const names = ["ahd-1", "vad-1", "rjt-1"];
    const engines = await Promise.all(names.map(() => startEngine(t, { weightStoreUrl: store.url })));
    const targets = names.map((name, i) => createTarget(name, { url: engines[i]?.url ?? "" }));
    const document = createDocument(targets, [createOffering("draft", names), createOffering("summary", names)]);
    const { keeper } = createHolder(fleet, "a", { revision: 1, document }, { loadsPerS: 1, burst: 2 });
    for (let i = 0; i < 7; i += 1) {
        fleet.clock.advance(1000);
        await keeper.step();
    }
    t.deepEqual(engines.map(engine => engine.orders.desired?.models.length), [2, 2, 2]);
    t.is(store.record().served.length, 6);
    t.is(store.record().refused, 0);
});
