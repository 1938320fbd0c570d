import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const HTTP_OK = 200;
const INTERVAL_MS = 200;
const RUN_MS = 4_000;

/** Time in which a lost reader's targets are read by another instance, in milliseconds: the peer timeout and some intervals. */
const TAKEOVER_MS = 3_000;

interface State {
    readonly targets: readonly { readonly id: string; readonly load?: { readonly capacityTokens: number; }; }[];
    readonly placementByReports: readonly { readonly service: string; readonly knownShare: number; }[];
}

const readStates = async (fleet: PlatformFleet): Promise<readonly State[]> =>
    await Promise.all(
        fleet.instances.map(async ({ metrics }) =>
            (await request(`http://${metrics}/state`)).body.json() as Promise<State>
        ),
    );

const countLoads = (states: readonly State[]): readonly number[] =>
    states.map(({ targets }) => targets.filter(({ load }) => load?.capacityTokens === 10_048).length);

test.serial("each target is read by one instance, all know its load, and requests are placed by it", async t => {
    const fleet = await PlatformFleet.start({
        count: 4,
        prepaid: 10_000_000,
        modelCount: 5,
        models: { capacityTokens: 10_048, stepMs: 20 },
        settings: { targetReports: { intervalMs: INTERVAL_MS }, placement: { usesReports: true } },
    });
    t.teardown(() => fleet.close());
    await sleep(TAKEOVER_MS);
    const readsBefore = fleet.models.map(({ reportReads }) => reportReads);
    const startedAtMs = performance.now();
    const answers = await askInTurn(fleet, RUN_MS, 20);
    const intervals = (performance.now() - startedAtMs) / INTERVAL_MS;
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
    const states = await readStates(fleet);
    t.deepEqual(countLoads(states), [5, 5, 5, 5]);
    t.true(
        states.every(state =>
            state.placementByReports.some(({ service, knownShare }) => service === "model" && knownShare === 1)
        ),
    );
    // With two readers of each target there would be two reads in an interval.
    fleet.models.forEach(({ id, reportReads }, at) => {
        const reads = reportReads - (readsBefore[at] ?? 0);
        t.true(reads <= 1.5 * intervals, `${reads} reads of ${id} in ${intervals} intervals`);
    });
    t.true(fleet.models.every(({ ran }) => ran.length > 0));
    // The targets of two instances that are killed are read by the others.
    fleet.instances.slice(0, 2).forEach(({ process }) => process.kill("SIGKILL"));
    await sleep(TAKEOVER_MS);
    const left = fleet.instances.slice(2);
    const loads = await Promise.all(
        left.map(async ({ metrics }) => (await request(`http://${metrics}/state`)).body.json() as Promise<State>),
    );
    t.deepEqual(countLoads(loads), [5, 5]);
});
