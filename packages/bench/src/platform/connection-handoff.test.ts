import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { Client } from "undici";
import { getState, loadInstance, loadUntilHandedOff, until } from "./handoff-load.js";
import { MODEL_EVENTS, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** Callers that keep their connections. */
const CALLERS = 24;

/** Time limit of their streams, which these do not reach on a busy machine either, in milliseconds. */
const STREAM_TIMEOUT_MS = 12_000;
const PREPAID = 1_000_000;
const STOP_WITHIN_S = 4;

/**
 * Who stops, and the time for each event of a stream. Callers of the busy instance learn of its stop, so that it accepts all requests at
 * first; their streams take less than the rest of the stop. Those of the helper's stop take longer.
 */
const STOPS = [{ who: "helper", stepMs: 450 }, { who: "busy instance", stepMs: 300 }] as const;
const REQUESTS = 10;

interface StreamCall {
    readonly id: string;
    readonly status: number;
    readonly isWhole: boolean;
}

/** Asks a model again and again on one connection, until it is told to end. */
const streamInTurn = async (
    fleet: PlatformFleet,
    { callers }: PlatformInstance,
    calls: StreamCall[],
    state: { isOpen: boolean; },
): Promise<void> => {
    const connection = new Client(`http://${callers}`);
    while (state.isOpen) {
        const id = fleet.nextId();
        const headers = { ...fleet.createHeaders(10), "attempt-id": id, "deadline-ms": String(STREAM_TIMEOUT_MS) };
        try {
            const res = await connection.request({ method: "POST", path: "/fixed/x", headers });
            const text = await res.body.text();
            calls.push({ id, status: res.statusCode, isWhole: text.includes(`id: ${MODEL_EVENTS}\n`) });
            await sleep(res.statusCode === 200 ? 0 : 100);
        }
        catch {
            calls.push({ id, status: 0, isWhole: false });
        }
    }
    await connection.destroy();
};

for (const { who, stepMs } of STOPS) {
    // Guards against requests that are taken late in a stop, on connections whose callers do not know of it.
    test.serial(`requests on connections that were handed off are answered or refused when the ${who} stops`, async t => {
        const fleet = await PlatformFleet.start({ models: { stepMs }, stopWithinS: STOP_WITHIN_S });
        t.teardown(() => fleet.close());
        const streamMs = stepMs * MODEL_EVENTS;
        fleet.apply(2, PREPAID, { modelTimeoutMs: STREAM_TIMEOUT_MS });
        const [busy] = fleet.instances;
        if (busy === undefined) {
            throw new Error("no instances");
        }
        const { helper, endLoad } = await loadUntilHandedOff(fleet, busy);
        const calls: StreamCall[] = [];
        const state = { isOpen: true };
        const callers = Array.from({ length: CALLERS }, async (_, at) => {
            await sleep(at * streamMs / CALLERS);
            await streamInTurn(fleet, busy, calls, state);
        });
        const areHandedOff = await until(async () =>
            ((await getState(busy)).handoff.connections[helper?.name ?? ""] ?? 0) >= CALLERS * 0.75
        );
        await endLoad();
        // One more whole stream, so that the connections have brought responses before.
        await sleep(streamMs + stepMs);
        const before = calls.length;
        const stopping = (who === "helper" ? helper : busy)?.process.stop();
        t.is((await stopping)?.code, 0);
        state.isOpen = false;
        await Promise.all(callers);
        t.true(areHandedOff, fleet.logTails);
        const ran = new Set(fleet.ran.map(({ id }) => id));
        const cut = calls.slice(before).filter(({ id, isWhole }) => ran.has(id) && !isWhole);
        t.deepEqual(cut, [], fleet.logTails);
        t.true(calls.slice(before).some(({ isWhole }) => isWhole));
    });
}

test.serial("callers of an instance that has too much to do are served by another one, each request once", async t => {
    const fleet = await PlatformFleet.start();
    t.teardown(() => fleet.close());
    const [first] = fleet.instances;
    if (first === undefined) {
        throw new Error("no instances");
    }
    const endLoad = loadInstance(first);
    const isHandedOff = await until(async () => (await getState(first)).handoff.helper !== undefined);
    const answers = [];
    for (let turn = 0; turn < REQUESTS; turn++) {
        answers.push(await fleet.call(first, "/once/a"));
    }
    await endLoad();
    t.true(isHandedOff, fleet.logTails);
    t.deepEqual(answers.filter(({ status }) => status !== 200 && status !== 503), [], fleet.logTails);
    const served = answers.filter(({ status }) => status === 200).length;
    t.true(served > 0, fleet.logTails);
    const ids = fleet.ran.map(({ id }) => id);
    t.is(ids.length, served);
    t.is(new Set(ids).size, served);
    t.true(await until(async () => (await getState(first)).handoff.helper === undefined), fleet.logTails);
    t.is((await fleet.call(first, "/once/a")).status, 200);
});
