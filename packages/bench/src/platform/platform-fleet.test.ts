import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type CallerAnswer, createPlatformDocument, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** Time after its start from which an instance may refuse as overloaded, in milliseconds. */
const OVERLOAD_WARM_UP_MS = 5_500;

const start = async (): Promise<readonly [PlatformFleet, PlatformInstance, PlatformInstance]> => {
    const fleet = await PlatformFleet.start();
    const [first, second] = fleet.instances;
    if (first === undefined || second === undefined) {
        throw new Error("no instances");
    }
    return [fleet, first, second];
};

/** Repeats a check until it holds; fails after the time given, in milliseconds. */
const until = async (check: () => Promise<boolean>, withinMs: number): Promise<boolean> => {
    const endsAtMs = performance.now() + withinMs;
    while (performance.now() < endsAtMs) {
        if (await check()) {
            return true;
        }
        await sleep(50);
    }
    return false;
};

test.serial("requests are served whole, unchanged but for what the instance sets", async t => {
    const [fleet, first] = await start();
    t.teardown(() => fleet.close());
    t.is((await fleet.resolve(first)).length, 3);
    const plain = await fleet.call(first, "/plain/a?b=c", { "tenant": "forged", "kv-hold": "forged" });
    t.is(plain.status, 200);
    t.is(plain.body, "answer to attempt-1");
    t.like(fleet.plain?.ran[0], {
        id: "attempt-1",
        team: "team-1",
        path: "/plain/a?b=c",
        body: "question",
        hadKey: false,
    });
    t.true((fleet.plain?.ran[0]?.waitsMs ?? 0) > 3_500);
    const model = await fleet.ask(first, 100);
    t.is(model.body.match(/^id: \d$/gm)?.length, 6);
    t.is((await fleet.call(first, "/none/")).status, 404);
    t.is((await fleet.call(first, "/plain/a", { authorization: "Bearer unknown" })).status, 401);
    const ready = await request(`http://${first.readiness}/ospreyreel/readiness`);
    t.is(ready.statusCode, 200);
    const metrics = await (await request(`http://${first.metrics}/metrics`)).body.text();
    t.regex(metrics, /ospreyreel_requests_total\{result="answered",service="plain"\} 1/);
    const states = await Promise.all(
        fleet.instances.map(async ({ metrics: at }) => (await request(`http://${at}/state`)).body.json() as unknown),
    );
    const owned =
        (states as readonly { readonly budgets: readonly { readonly budget: string; readonly spent: number; }[]; }[])
            .flatMap(state => state.budgets);
    t.deepEqual(owned, [{ ...owned[0], budget: "team-1", spent: 130 }]);
});

test.serial("a budget is used up to its last tokens over all instances, and never beyond", async t => {
    // The store is new, and half of a budget is all that may be used before its record is in each copy of the store.
    const fleet = await PlatformFleet.start({ maxCopyAgeS: 0 });
    t.teardown(() => fleet.close());
    fleet.store.put("op/config", createPlatformDocument(2, 5_000));
    await sleep(300);
    const answers = [];
    for (let at = 0; at < 12; at++) {
        const instance = fleet.instances[at % fleet.instances.length];
        answers.push(instance === undefined ? undefined : await fleet.ask(instance, 470));
    }
    const refused = answers.filter(answer => answer?.status !== 200).map(answer => answer?.body);
    const wanted = [...Array<number>(10).fill(200), 402, 402];
    t.deepEqual(answers.map(answer => answer?.status), wanted, `${refused.join("\n")}\n${fleet.logTails}`);
    t.is(fleet.models.flatMap(model => model.ran).length, 10);
    fleet.store.put("op/config", createPlatformDocument(3, 5_500));
    const [first] = fleet.instances;
    t.true(await until(async () => first !== undefined && (await fleet.ask(first, 470)).status === 200, 2_000));
});

test.serial("an instance that others take the processor from refuses nothing while it keeps up with its requests", async t => {
    const [fleet, first] = await start();
    t.teardown(() => fleet.close());
    await sleep(OVERLOAD_WARM_UP_MS);
    const running = [];
    for (let turn = 0; turn < 60; turn++) {
        first.process.kill("SIGSTOP");
        await sleep(100);
        first.process.kill("SIGCONT");
        await sleep(2);
        if (turn % 5 === 0) {
            running.push(fleet.call(first, "/plain/a"));
        }
    }
    const answers = await Promise.all(running);
    t.deepEqual(answers.filter(answer => answer.status !== 200).map(answer => answer.body), [], fleet.logTails);
});

test.serial("an outage of the store stops neither requests nor budgets, and a killed instance comes back", async t => {
    const [fleet, first, second] = await start();
    t.teardown(() => fleet.close());
    const expectServed = (answer: CallerAnswer): void => {
        t.is(answer.status, 200, answer.body);
    };
    for (const instance of fleet.instances) {
        expectServed(await fleet.ask(instance, 470));
    }
    await sleep(1_500);
    fleet.store.faults.silent = true;
    for (const instance of fleet.instances) {
        expectServed(await fleet.ask(instance, 470));
        expectServed(await fleet.call(instance, "/once/a"));
    }
    first.process.kill("SIGKILL");
    const restarted = fleet.restart(first);
    await sleep(500);
    expectServed(await fleet.call(second, "/plain/a"));
    fleet.store.faults.silent = false;
    await restarted;
    t.true(await until(async () => (await fleet.ask(first, 470)).status === 200, 4_000));
});

test.serial("a leaving target gets nothing more, and a new desired state is in force everywhere", async t => {
    const [fleet] = await start();
    t.teardown(() => fleet.close());
    const [gone, kept] = fleet.models;
    fleet.store.put(...(gone?.getEntry("draining") ?? ["x", {}]));
    fleet.store.put("op/config", createPlatformDocument(2));
    fleet.store.putBytes("servers/broken", Buffer.from([0xff, 0xfe]));
    await sleep(500);
    for (const instance of fleet.instances) {
        t.is((await fleet.ask(instance, 50)).status, 200);
        t.is((await fleet.call(instance, "/new/a")).status, 200);
    }
    t.is(gone?.ran.length, 0);
    t.is(kept?.ran.length, 3);
});

test.serial("an instance that is told to stop ends its streams and is named to nobody", async t => {
    const [fleet, first, second] = await start();
    t.teardown(() => fleet.close());
    const running = [...Array(20).keys()].map(() => fleet.ask(first, 50));
    await sleep(10);
    const stopping = first.process.stop();
    const answers = await Promise.all(running);
    t.true(answers.every(answer => answer.status === 200 && answer.body.includes("id: 6")));
    t.true(await until(async () => !(await fleet.resolve(second)).includes(first.callers), 1_000));
    t.is((await stopping).code, 0);
    t.is((await fleet.ask(second, 50)).status, 200);
});
