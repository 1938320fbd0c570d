import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import type { LinkCut } from "./instance-links.js";
import { PlatformFleet, type PlatformInstance } from "./platform-fleet.js";
import { openStream } from "./stream-caller.js";

const HTTP_OK = 200;

/** Time after which callers of a cut instance must be served as well as those of others, in milliseconds; `contactMs`. */
const CONTACT_MS = 3_000;

const RUN_MS = 4_000;
const ASK_INTERVAL_MS = 120;

/** Requests that are sent to an instance at the same time, so that it needs new connections to targets. */
const BURST = 4;

const EVENTS = 60;

/** Share of first tries that must be served at cut instances relative to the others. */
const MIN_SHARE = 2 / 3;

/** Time in which the instance notices the end of a cut, in milliseconds. */
const RESTORED_MS = 4_000;

interface Tally {
    served: number;
    asked: number;
}

/** Asks the instances in turn, on connections of their own, for answers of all kinds; returns what each was asked and served. */
const askAll = async (fleet: PlatformFleet, runMs: number, burst = BURST): Promise<readonly Tally[]> => {
    const tallies = fleet.instances.map((): Tally => ({ served: 0, asked: 0 }));
    const calls: Promise<void>[] = [];
    const endsAtMs = performance.now() + runMs;
    for (let index = 0; performance.now() < endsAtMs; index++) {
        const at = index % fleet.instances.length;
        const instance = fleet.instances[at];
        const tally = tallies[at];
        for (let call = 0; call < burst && instance !== undefined && tally !== undefined; call++) {
            tally.asked += 1;
            calls.push(
                askOnce(fleet, instance, index + call).then(isServed => {
                    tally.served += isServed ? 1 : 0;
                }),
            );
        }
        await sleep(ASK_INTERVAL_MS);
    }
    await Promise.all(calls);
    return tallies;
};

const askOnce = async (fleet: PlatformFleet, instance: PlatformInstance, round: number): Promise<boolean> => {
    const paths = ["/plain/x", "/once/x", "/model/x"];
    const path = paths[round % paths.length] ?? "";
    const { status } = path === "/model/x"
        ? await fleet.ask(instance, 60, { "prompt-prefix": `a${round}:20,b${round}:20` })
        : await fleet.call(instance, path);
    return status === HTTP_OK;
};

const getShare = (tallies: readonly Tally[]): number =>
    tallies.reduce((sum, { served }) => sum + served, 0) / tallies.reduce((sum, { asked }) => sum + asked, 0);

/** Requests that may run once at most and ran more often. */
const getRepeated = (fleet: PlatformFleet): readonly string[] => {
    const ids = fleet.ran.filter(({ path }) => path.startsWith("/once/")).map(({ id }) => id);
    return ids.filter((id, index) => ids.indexOf(id) !== index);
};

/** Asserts that the cut instances, the first three, have their callers served as well as the others. */
const assertServedAlike = async (t: ExecutionContext, fleet: PlatformFleet): Promise<void> => {
    const tallies = await askAll(fleet, RUN_MS);
    const cut = getShare(tallies.slice(0, 3));
    const others = getShare(tallies.slice(3));
    t.true(others > 0, "nothing was served at the others");
    t.true(cut >= MIN_SHARE * others, `${cut} of first tries served at cut instances, ${others} at others`);
    t.deepEqual(getRepeated(fleet), []);
};

const startCut = async (t: ExecutionContext, how: LinkCut, ids?: readonly string[]): Promise<PlatformFleet> => {
    const fleet = await PlatformFleet.start({
        count: 5,
        cuttable: 3,
        plainCount: 2,
        modelCount: 3,
        prepaid: 10_000_000,
    });
    t.teardown(() => fleet.close());
    await askAll(fleet, 1_000, 1);
    await Promise.all(fleet.targetLinks.map(links => links.cut(how, ids)));
    return fleet;
};

const HOWS: readonly LinkCut[] = ["hang", "reset", "refuse"];

for (const how of HOWS) {
    test.serial(`callers of instances that are cut off from all targets are served as well as others (${how})`, async t => {
        const fleet = await startCut(t, how);
        await askAll(fleet, CONTACT_MS);
        await assertServedAlike(t, fleet);
        await Promise.all(fleet.targetLinks.map(links => links.restore()));
        await sleep(RESTORED_MS);
        t.is(getShare(await askAll(fleet, 1_000)), 1);
        t.deepEqual(getRepeated(fleet), []);
    });
}

test.serial("callers of instances that are cut off are served as well as others while the store is silent", async t => {
    const fleet = await startCut(t, "reset");
    fleet.store.faults.silent = true;
    await askAll(fleet, CONTACT_MS);
    await assertServedAlike(t, fleet);
});

test.serial("callers of an instance that is killed and starts again while it is cut off are served as well as others", async t => {
    const fleet = await startCut(t, "reset");
    const [instance] = fleet.instances;
    instance?.process.kill("SIGKILL");
    await instance?.process.exited;
    await Promise.all(fleet.instances.slice(0, 1).map(killed => fleet.restart(killed)));
    await askAll(fleet, CONTACT_MS);
    await assertServedAlike(t, fleet);
});

test.serial("callers of instances that are cut off from one service only are served as well as others", async t => {
    const fleet = await startCut(t, "hang", ["plain-1", "plain-2"]);
    await askAll(fleet, CONTACT_MS);
    await assertServedAlike(t, fleet);
});

test.serial("callers of instances whose cut comes and goes are served as well as others", async t => {
    const fleet = await startCut(t, "refuse");
    for (const how of ["hang", "reset"] as const) {
        await askAll(fleet, CONTACT_MS / 2);
        await Promise.all(fleet.targetLinks.map(links => links.restore()));
        await askAll(fleet, CONTACT_MS / 2);
        await Promise.all(fleet.targetLinks.map(links => links.cut(how)));
    }
    await askAll(fleet, CONTACT_MS);
    await assertServedAlike(t, fleet);
});

test.serial("a stream whose connection hangs since its instance was cut off goes on before its caller gives up", async t => {
    const fleet = await PlatformFleet.start({
        cuttable: 1,
        prepaid: 10_000_000,
        modelVersions: ["v1", "v1"],
        models: { events: EVENTS, stepMs: 25 },
    });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        t.fail("no instance");
        return;
    }
    const streams = [...Array(4).keys()].map(() => openStream(fleet, instance));
    await Promise.all(streams.map(({ begun }) => begun));
    await fleet.targetLinks[0]?.cut("hang");
    const ended = await Promise.all(streams.map(stream => stream.ended));
    t.deepEqual(ended.filter(({ isComplete, lastEventId }) => !isComplete || lastEventId !== EVENTS), []);
});
