import { type PlatformTargetStandIn, STAND_IN_HEADERS } from "@ospreyreel/stand-ins";
import test, { type ExecutionContext } from "ava";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { getState, until } from "./handoff-load.js";
import {
    MODEL_EVENTS,
    PlatformFleet,
    type PlatformFleetOptions,
    type PlatformInstance,
    toAddress,
} from "./platform-fleet.js";
import type { PlatformCall, PlatformCallKind } from "./soak/platform-call.js";
import { getEvents, sendCall } from "./soak/send-call.js";
import { TargetProcess } from "./target-process.js";

/** Callers of each instance. */
const CALLERS = 8;

/** Time for each event of a stream, in milliseconds; some have arrived when the fault comes, and the stream goes on after it. */
const STEP_MS = 150;
const FAULT_AFTER_MS = 450;

/** Time for each event of a stream that lasts longer than a stop, in milliseconds. */
const LONG_STEP_MS = 700;
const STOP_WITHIN_S = 2;

/** Size of a plain answer that no socket buffers hold, in bytes, and the time for which its caller does not read it, in milliseconds. */
const LARGE_BYTES = 12_000_000;
const READ_PAUSE_MS = 1_500;

const STREAM_TIMEOUT_MS = 12_000;
const PREPAID = 1_000_000;

const HAND_OFF_ALWAYS = new URL("hand-off-always.js", import.meta.url).href;
const THROW_ON_SIGNAL = new URL("throw-on-signal.js", import.meta.url).href;

/** What varies between the calls of a scenario. */
interface CallOptions {
    readonly kind: PlatformCallKind;
    readonly stepMs?: number;
    readonly paddingBytes?: number;
    readonly readPauseMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

const call = async (
    fleet: PlatformFleet,
    instance: PlatformInstance,
    { kind, stepMs = STEP_MS, paddingBytes = 0, readPauseMs = 0, headers = {} }: CallOptions,
): Promise<PlatformCall> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const answer = await sendCall({
        kind,
        id: fleet.nextId(),
        promptTokens: 10,
        paddingBytes,
        instance: instance.name,
        address: toAddress(instance.callers),
        wasAccepted: () => true,
        agent,
        stepMs,
        bodyPauseMs: 0,
        readPauseMs,
        leavesAfterMs: undefined,
        resumed: undefined,
        headers: { [STAND_IN_HEADERS.framing]: "none", ...headers },
    });
    agent.destroy();
    return answer;
};

const callTogether = async (
    fleet: PlatformFleet,
    instance: PlatformInstance,
    opts: CallOptions,
    count = CALLERS,
): Promise<readonly PlatformCall[]> =>
    await Promise.all(Array.from({ length: count }, () => call(fleet, instance, opts)));

const isWhole = ({ kind, id, body, paddingBytes }: PlatformCall): boolean =>
    kind === "plain" || kind === "once"
        ? body === `answer to ${id}${"x".repeat(paddingBytes)}`
        : getEvents(body).length === MODEL_EVENTS;

/** Calls that ended as whole ones for their callers, though they were not. */
const findMistaken = (calls: readonly PlatformCall[]): readonly string[] =>
    calls.filter(answer => answer.end === "answered" && answer.status === 200 && !isWhole(answer))
        .map(({ kind, id, body }) => `${kind} ${id}: ${body.length} bytes, ${getEvents(body).length} events`);

const start = async (t: ExecutionContext, opts: PlatformFleetOptions = {}) => {
    const fleet = await PlatformFleet.start({ plainCount: 2, stopWithinS: STOP_WITHIN_S, ...opts });
    t.teardown(() => fleet.close());
    fleet.apply(2, PREPAID, { modelTimeoutMs: STREAM_TIMEOUT_MS });
    const [first, second] = fleet.instances;
    if (first === undefined || second === undefined) {
        throw new Error("too few instances");
    }
    return { fleet, first, second };
};

/** The instance that serves all callers of the first one. */
const findHelper = async (fleet: PlatformFleet, first: PlatformInstance): Promise<PlatformInstance> => {
    let helper: PlatformInstance | undefined;
    await until(async () => {
        const { handoff } = await getState(first);
        helper = fleet.instances.find(({ name }) => name === handoff.helper);
        return helper !== undefined;
    });
    if (helper === undefined) {
        throw new Error("no instance takes connections");
    }
    return helper;
};

/** A way of an answer to its caller, and what ends a part of it. */
interface Scenario {
    readonly title: string;
    readonly opts?: PlatformFleetOptions;
    readonly stepMs?: number;
    /** Prepares the way; returns the instance whose process ends. */
    readonly prepare: (
        fleet: PlatformFleet,
        first: PlatformInstance,
        second: PlatformInstance,
    ) => Promise<PlatformInstance>;
    readonly signal: NodeJS.Signals;
}

const SCENARIOS: readonly Scenario[] = [
    {
        title: "the instance that serves them is killed",
        prepare: (_fleet, first) => Promise.resolve(first),
        signal: "SIGKILL",
    },
    {
        title: "the instance that serves them stops before they end",
        stepMs: LONG_STEP_MS,
        prepare: (_fleet, first) => Promise.resolve(first),
        signal: "SIGTERM",
    },
    {
        title: "the instance that serves them ends by an error of its own",
        opts: { modules: [THROW_ON_SIGNAL] },
        stepMs: LONG_STEP_MS,
        prepare: (_fleet, first) => Promise.resolve(first),
        signal: "SIGUSR2",
    },
    {
        title: "the peer through which they are sent is killed",
        opts: { count: 2, cuttable: 1 },
        prepare: async ({ targetLinks }, _first, second) => {
            await targetLinks[0]?.cut("refuse");
            return second;
        },
        signal: "SIGKILL",
    },
    {
        title: "the instance that sends them through a peer is killed",
        opts: { count: 2, cuttable: 1 },
        prepare: async ({ targetLinks }, first) => {
            await targetLinks[0]?.cut("refuse");
            return first;
        },
        signal: "SIGKILL",
    },
    {
        title: "the helper that serves their connections is killed",
        opts: { modules: [HAND_OFF_ALWAYS] },
        prepare: (fleet, first) => findHelper(fleet, first),
        signal: "SIGKILL",
    },
    {
        title: "the instance that handed their connections off is killed",
        opts: { modules: [HAND_OFF_ALWAYS] },
        prepare: async (fleet, first) => {
            await findHelper(fleet, first);
            return first;
        },
        signal: "SIGKILL",
    },
];

for (const { title, opts, stepMs, prepare, signal } of SCENARIOS) {
    // Guards against a part of an unframed stream that looks whole, since the kernel closes the connections of a process that ends in order.
    test.serial(`unframed streams do not look whole when ${title}`, async t => {
        const { fleet, first, second } = await start(t, opts);
        const ending = await prepare(fleet, first, second);
        const other = fleet.instances.findLast(instance => instance !== first && instance !== ending);
        const calls = (["fixed", "model"] as const).map(kind =>
            callTogether(fleet, first, { kind, ...(stepMs === undefined ? {} : { stepMs }) })
        );
        const beside = other === undefined ? [] : callTogether(fleet, other, { kind: "fixed" });
        await sleep(FAULT_AFTER_MS + (stepMs ?? 0));
        ending.process.kill(signal);
        const answers = (await Promise.all(calls)).flat();
        const partial = answers.filter(answer => answer.status === 200 && !isWhole(answer));
        t.log(`${answers.length} streams, ${partial.length} partial`);
        t.deepEqual(findMistaken(answers), []);
        t.true(partial.some(({ body }) => getEvents(body).length > 0));
        t.deepEqual((await beside).filter(answer => answer.end !== "answered" || !isWhole(answer)), []);
    });
}

// Guards against the first part of a large plain answer that looks whole, since the kernel closes the connections of a killed process in order.
test.serial("unframed plain answers do not look whole when the instance that sends them is killed", async t => {
    const { fleet, first } = await start(t);
    const calls = callTogether(fleet, first, {
        kind: "plain",
        paddingBytes: LARGE_BYTES,
        readPauseMs: READ_PAUSE_MS,
    });
    await sleep(READ_PAUSE_MS / 2);
    first.process.kill("SIGKILL");
    const answers = await calls;
    t.deepEqual(findMistaken(answers), []);
    t.true(answers.some(answer => answer.body.length > 0 && !isWhole(answer)));
});

/** Events that a target sends before it resets its connection. */
const EVENTS_BEFORE_RESET = 3;

/** Time for which an instance is paused while a target resets its connections, so that the resets arrive with the last events, in milliseconds. */
const PAUSE_MS = 300;

const WAYS: readonly (Pick<Scenario, "opts"> & { readonly title: string; readonly isHandedOff?: boolean; })[] = [
    { title: "directly" },
    { title: "through a peer", opts: { count: 2, cuttable: 1 } },
    { title: "through a helper", opts: { modules: [HAND_OFF_ALWAYS] }, isHandedOff: true },
];

for (const { title, opts, isHandedOff = false } of WAYS) {
    // Guards against a stream that its target broke off and that looks whole, as a reset that comes with the last bytes is reported as an end.
    test.serial(`unframed streams that targets reset do not look whole to callers that are served ${title}`, async t => {
        const { fleet, first } = await start(t, opts);
        await fleet.targetLinks[0]?.cut("refuse");
        if (isHandedOff) {
            await findHelper(fleet, first);
        }
        const headers = { [STAND_IN_HEADERS.resetAfter]: String(EVENTS_BEFORE_RESET) };
        const calls = callTogether(fleet, first, { kind: "fixed", headers });
        await sleep(STEP_MS * EVENTS_BEFORE_RESET);
        first.process.kill("SIGSTOP");
        await sleep(PAUSE_MS);
        first.process.kill("SIGCONT");
        const answers = await calls;
        t.deepEqual(findMistaken(answers), []);
        t.deepEqual(answers.map(({ end }) => end), answers.map(() => "cut" as const));
        t.true(answers.some(({ body }) => getEvents(body).length === EVENTS_BEFORE_RESET));
    });
}

/** Time between the two parts of a plain answer, and size of the second one. */
const SPLIT_MS = 1_000;
const SECOND_PART_BYTES = 100;

const getProcess = (target: unknown): TargetProcess => {
    if (!(target instanceof TargetProcess)) {
        throw new Error("the target has no process of its own");
    }
    return target;
};

const startWithTargetProcesses = async (
    t: ExecutionContext,
    { opts, isHandedOff = false }: (typeof WAYS)[number],
) => {
    const { fleet, first } = await start(t, { ...opts, withTargetProcesses: true });
    await fleet.targetLinks[0]?.cut("refuse");
    if (isHandedOff) {
        await findHelper(fleet, first);
    }
    return { fleet, first };
};

/** The target of a service at which most requests are open, by what the instances tell. */
const findBusiest = async (
    { instances }: PlatformFleet,
    targets: readonly PlatformTargetStandIn[],
): Promise<TargetProcess> => {
    const states = await Promise.all(instances.map(instance => getState(instance)));
    const getOpen = (id: string): number =>
        states.flatMap(state => state.targets).filter(target => target.id === id)
            .reduce((sum, { inFlight }) => sum + inFlight, 0);
    return getProcess(targets.toSorted((a, b) => getOpen(b.id) - getOpen(a.id))[0]);
};

for (const way of WAYS) {
    // Guards against a part of a stream that looks whole, since the kernel closes the connections of a killed target in order.
    test.serial(`unframed streams do not look whole to callers that are served ${way.title} when their target is killed`, async t => {
        const { fleet, first } = await startWithTargetProcesses(t, way);
        const fixed = callTogether(fleet, first, { kind: "fixed" }, 2 * CALLERS);
        const resumable = callTogether(fleet, first, { kind: "model" });
        await sleep(FAULT_AFTER_MS);
        (await findBusiest(fleet, fleet.models)).kill("SIGKILL");
        const answers = await fixed;
        t.log(`${answers.length} streams, ${answers.filter(({ end }) => end === "cut").length} cut`);
        t.deepEqual(findMistaken([...answers, ...await resumable]), []);
        t.true(answers.some(answer => answer.end === "cut" && getEvents(answer.body).length > 0));
        t.deepEqual((await resumable).filter(answer => answer.end !== "answered" || !isWhole(answer)), []);
    });

    // Guards against the same in an answer that is no stream.
    test.serial(`unframed plain answers do not look whole to callers that are served ${way.title} when their target is killed`, async t => {
        const { fleet, first } = await startWithTargetProcesses(t, way);
        const headers = { [STAND_IN_HEADERS.splitMs]: String(SPLIT_MS) };
        const [repeatable, single] = (["plain", "once"] as const).map(kind =>
            callTogether(fleet, first, { kind, paddingBytes: SECOND_PART_BYTES, headers }, 2 * CALLERS)
        );
        await sleep(FAULT_AFTER_MS);
        (await findBusiest(fleet, fleet.plains)).kill("SIGKILL");
        const answers = await single ?? [];
        t.deepEqual(findMistaken([...answers, ...await repeatable ?? []]), []);
        t.true(answers.some(answer => answer.status === 502));
        t.deepEqual((await repeatable)?.filter(answer => answer.end !== "answered" || !isWhole(answer)), []);
    });
}

const LEAVES = [
    ["says that it leaves", fleet => fleet.announceLeaving(0)],
    ["has its entry removed", fleet => fleet.removeEntry(0)],
] as const satisfies readonly (readonly [string, (fleet: PlatformFleet) => void])[];

for (const way of WAYS) {
    for (const [how, leave] of LEAVES) {
        // Guards against whole streams that count as cut, since their target ends with the last of them.
        test.serial(`unframed streams are whole to callers that are served ${way.title} when their target ${how} and ends after them`, async t => {
            const { fleet, first } = await startWithTargetProcesses(t, way);
            const calls = (["fixed", "model"] as const).map(kind => callTogether(fleet, first, { kind }));
            await sleep(FAULT_AFTER_MS);
            const target = getProcess(fleet.models[0]);
            leave(fleet);
            target.kill("SIGTERM");
            const answers = (await Promise.all(calls)).flat();
            t.deepEqual(answers.filter(answer => answer.end !== "answered" || !isWhole(answer)), []);
            t.deepEqual(await target.exited, { code: 0, signal: undefined });
        });
    }
}
