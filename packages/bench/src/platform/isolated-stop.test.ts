import test from "ava";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, type PlatformInstance, STOP_WITHIN_S, toAddress } from "./platform-fleet.js";
import type { PlatformCall } from "./soak/platform-call.js";
import { sendCall } from "./soak/send-call.js";

const KINDS = ["plain", "once", "fixed", "model"] as const;

/** Callers of each kind at each instance; every second one keeps its connection. */
const CALLERS_EACH = 4;

/** Time for a plain answer or for each of six events of a stream, in milliseconds. */
const STEP_MS = { plain: 200, once: 200, fixed: 250, model: 250 } as const;

/** Targets with room for all callers. */
const PLAIN_COUNT = 3;
const MODEL_COUNT = 3;
const PREPAID = 10_000_000;
const STREAM_TIMEOUT_MS = 12_000;

/** Time in which instances notice an isolation and requests before it end, in milliseconds. */
const SETTLE_MS = 3_500;

const WARM_MS = 1_500;
const PAUSE_BETWEEN_STOPS_MS = 2_000;
const PAUSE_MS = 20;

/** Time after the last byte of a request from which an instance has read it, in milliseconds. */
const LOSS_SLACK_MS = 200;

/** Time after SIGTERM from which no request is taken: the longest time of a plain request and a margin before the end; in milliseconds. */
const LATE_MS = STOP_WITHIN_S * 1_000 - 4_000;

/** What the instances can't reach while they stop. */
interface Isolation {
    readonly name: string;
    readonly begin: (fleet: PlatformFleet) => Promise<void>;
    /** Modules that are loaded into the instances; none by default. */
    readonly modules?: readonly string[];
}

const cutStore = async ({ storeProxies }: PlatformFleet): Promise<void> => {
    await Promise.all(storeProxies.map(proxy => proxy.setFaults({ mode: "stall" })));
};

const cutPeers = async ({ instances, peerLinks }: PlatformFleet): Promise<void> => {
    for (const [at, first] of instances.entries()) {
        for (const second of instances.slice(at + 1)) {
            await peerLinks?.cut(first.name, second.name);
        }
    }
};

const cutTargets = async ({ targetLinks }: PlatformFleet): Promise<void> => {
    await Promise.all(targetLinks.map(links => links.cut("hang")));
};

const HAND_OFF = [new URL("hand-off-always.js", import.meta.url).href];

const ISOLATIONS: readonly Isolation[] = [
    { name: "the KV service", begin: cutStore },
    { name: "each other", begin: cutPeers },
    {
        name: "the KV service and each other",
        begin: async fleet => {
            await cutStore(fleet);
            await cutPeers(fleet);
        },
    },
    { name: "targets, for one instance", begin: cutTargets },
    {
        name: "everything but callers, for one instance",
        begin: async fleet => {
            await cutTargets(fleet);
            await cutStore(fleet);
            await cutPeers(fleet);
        },
    },
    { name: "the KV service, with handed-off connections", begin: cutStore, modules: HAND_OFF },
    { name: "each other, with handed-off connections", begin: cutPeers, modules: HAND_OFF },
];

/** Sends one request after the other to one instance, until it is told to end. */
const callInTurn = async (
    fleet: PlatformFleet,
    instance: PlatformInstance,
    { kind, keepAlive, calls, state }: {
        readonly kind: (typeof KINDS)[number];
        readonly keepAlive: boolean;
        readonly calls: PlatformCall[];
        readonly state: { isOpen: boolean; };
    },
): Promise<void> => {
    const agent = new Agent({ keepAlive, maxSockets: 1 });
    const proxy = fleet.getCallerProxy(instance.callers);
    while (state.isOpen) {
        calls.push(
            await sendCall({
                kind,
                id: fleet.nextId(),
                promptTokens: 10,
                paddingBytes: 0,
                instance: instance.name,
                address: proxy?.address ?? toAddress(instance.callers),
                wasAccepted: port => proxy?.hasReachedTarget(port) ?? true,
                agent,
                stepMs: STEP_MS[kind],
                bodyPauseMs: 0,
                readPauseMs: 0,
                leavesAfterMs: undefined,
                resumed: undefined,
            }),
        );
        await sleep(PAUSE_MS);
    }
    agent.destroy();
};

for (const { name, begin, modules = [] } of ISOLATIONS) {
    // Guards against requests that instances accept late in a stop, or cut at its end, since they are isolated.
    test.serial(`all instances stop in turn under load while cut off from ${name}, and no request is lost`, async t => {
        const lines: string[] = [];
        const fleet = await PlatformFleet.start({
            plainCount: PLAIN_COUNT,
            modelCount: MODEL_COUNT,
            withProxies: true,
            withPeerLinks: true,
            cuttable: 1,
            modules,
            onLine: (instance, line) => {
                if (/instance (leaving|stopped)|without a whole answer/.test(line)) {
                    lines.push(`${instance} ${line}`);
                }
            },
        });
        t.teardown(() => fleet.close());
        fleet.apply(2, PREPAID, { modelTimeoutMs: STREAM_TIMEOUT_MS });
        const calls: PlatformCall[] = [];
        const state = { isOpen: true };
        const callers = fleet.instances.flatMap(instance =>
            KINDS.flatMap(kind =>
                Array.from(
                    { length: CALLERS_EACH },
                    (_, at) => callInTurn(fleet, instance, { kind, keepAlive: at % 2 === 0, calls, state }),
                )
            )
        );
        await sleep(WARM_MS);
        await begin(fleet);
        await sleep(SETTLE_MS);
        const judgedFromMs = performance.now();
        const termAtMs = new Map<string, number>();
        const codes = await Promise.all(fleet.instances.map(async ({ name: instance, process }, at) => {
            await sleep(at * PAUSE_BETWEEN_STOPS_MS);
            termAtMs.set(instance, performance.now());
            return (await process.stop()).code;
        }));
        state.isOpen = false;
        await Promise.all(callers);

        const ran = new Set(fleet.ran.map(({ id }) => id));
        const judged = calls.filter(({ sentAtMs }) => sentAtMs >= judgedFromMs);
        const getSentMs = ({ instance, sentAtMs }: PlatformCall): number =>
            Math.round(sentAtMs - (termAtMs.get(instance) ?? Infinity));
        const cut = judged.filter(({ end }) => end === "cut");
        const lost = cut.filter(({ id, bodySentAtMs = Infinity, endedAtMs }) =>
            ran.has(id) || endedAtMs - bodySentAtMs > LOSS_SLACK_MS
        );
        const late = judged.filter(call => getSentMs(call) > LATE_MS && ran.has(call.id));
        const during = judged.filter(call => getSentMs(call) >= 0);
        const count = (status: number): number => during.filter(it => it.status === status).length;
        t.log(
            `sent while stopping ${during.length}: 200 ${count(200)}, 503 ${count(503)}, 502 ${count(502)}, 504 ${
                count(504)
            }; cut ${cut.length}, of these lost ${lost.length}; last ${
                Math.max(...during.filter(({ end }) => end === "answered").map(getSentMs))
            } ms after SIGTERM`,
        );
        const describe = (list: readonly PlatformCall[]): readonly unknown[] =>
            list.map(call => ({ ...call, body: call.body.slice(0, 80), sentMs: getSentMs(call) }));
        t.deepEqual(codes, fleet.instances.map(() => 0));
        t.true(count(200) > 0);
        t.deepEqual(describe(lost), [], lines.join(""));
        t.deepEqual(describe(late), [], lines.join(""));
    });
}
