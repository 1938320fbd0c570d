import test from "ava";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, toAddress } from "./platform-fleet.js";
import type { PlatformCall } from "./soak/platform-call.js";
import { sendCall } from "./soak/send-call.js";

/** Connections that the instance accepts. */
const MAX_CONNECTIONS = 64;

/** Callers with one request each, and the pause between two of them, in milliseconds. */
const CALLERS = 150;
const PAUSE_MS = 8;

/** Time for which a target works, so that more callers wait than there are connections; in milliseconds. */
const WORK_MS = 2_500;

/** Targets with room for all callers. */
const PLAIN_COUNT = 3;

const HTTP_UNAVAILABLE = 503;

/** Callers that keep their connections without a request, and how many more than the instance accepts ask at once. */
const IDLE_CALLERS = MAX_CONNECTIONS - 4;

const start = async (t: { teardown: (close: () => Promise<void>) => void; }) => {
    const lines: string[] = [];
    const fleet = await PlatformFleet.start({
        count: 1,
        plainCount: PLAIN_COUNT,
        settings: { callerLimits: { maxConnections: MAX_CONNECTIONS } },
        onLine: (_instance, line) => {
            if (/closed|without a whole answer/.test(line)) {
                lines.push(line);
            }
        },
    });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        throw new Error("no instances");
    }
    const send = (agent: Agent, stepMs: number): Promise<PlatformCall> =>
        sendCall({
            kind: "once",
            id: fleet.nextId(),
            promptTokens: 10,
            paddingBytes: 0,
            instance: instance.name,
            address: toAddress(instance.callers),
            wasAccepted: () => true,
            agent,
            stepMs,
            bodyPauseMs: 0,
            readPauseMs: 0,
            leavesAfterMs: undefined,
            resumed: undefined,
        });
    return { fleet, lines, send };
};

// Guards against callers inside the limits whose connections an instance closes without an answer, since it has too many.
test.serial("callers that find an instance full are refused as not run", async t => {
    const { fleet, lines, send } = await start(t);
    const calls: Promise<PlatformCall>[] = [];
    for (let at = 0; at < CALLERS; at++) {
        calls.push(send(new Agent({ keepAlive: false }), WORK_MS));
        await sleep(PAUSE_MS);
    }
    const results = await Promise.all(calls);
    const ran = new Set(fleet.ran.map(({ id }) => id));
    const served = results.filter(({ status }) => status === 200);
    const refused = results.filter(({ status }) => status === HTTP_UNAVAILABLE);
    t.log(`served ${served.length}, refused ${refused.length}, cut ${results.filter(it => it.end === "cut").length}`);
    t.deepEqual(results.filter(({ end }) => end !== "answered"), [], lines.join(""));
    t.true(refused.length > 0);
    t.true(served.length > MAX_CONNECTIONS / 2, String(served.length));
    t.true(refused.every(({ id, retryAfterS }) => !ran.has(id) && retryAfterS !== undefined));
});

// Guards against new requests that are lost since connections without one stay open in their place.
test.serial("callers with requests are answered where idle connections fill an instance", async t => {
    const { lines, send } = await start(t);
    const agents = Array.from({ length: IDLE_CALLERS }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
    t.teardown(() => agents.forEach(agent => agent.destroy()));
    t.true((await Promise.all(agents.map(agent => send(agent, 1)))).every(({ end }) => end === "answered"));
    const results = await Promise.all(
        Array.from({ length: MAX_CONNECTIONS / 2 }, () => send(new Agent({ keepAlive: false }), 1)),
    );
    t.deepEqual(results.filter(({ end }) => end !== "answered"), [], lines.join(""));
});
