import test, { type ExecutionContext } from "ava";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerCrowd, CROWD_CASES, type CrowdCase } from "../rig/caller-crowd.js";
import { ProcessWatch } from "../rig/process-watch.js";
import { getState, until } from "./handoff-load.js";
import { PlatformFleet, type PlatformInstance, toAddress } from "./platform-fleet.js";

/** Memory of the smallest instance of the users' sites, in bytes. */
const MAX_MEMORY_BYTES = 210e6;

/** Share of its descriptors that a process may have open: a quarter is left for targets, peers and the KV service. */
const MAX_OPEN_SHARE = 3 / 4;

/** Arguments of node with which the platform starts an instance. */
const NODE_ARGS = /^run = "node (.*) \S+"$/m.exec(
    readFileSync(new URL("../../../../deploy/system.toml", import.meta.url), "utf8"),
)?.[1]?.split(" ") ?? [];

const CALLER_HEAD = [
    "POST /model/x HTTP/1.1",
    "Host: users.example",
    "Attempt-Id: crowd",
    "Deadline-Ms: 60000",
    "Token-Counts: 10,30",
    "Model: m",
    "Authorization: Bearer key-1",
    "",
].join("\r\n");

const STATUS_HEAD = "POST /ospreyreel/resolve?name=users.example&region=r&zone=z HTTP/1.1\r\nHost: a\r\n";

/** Asks until a request is answered with 200, as a caller would that is refused meanwhile. */
const askUntilServed = async (ask: () => Promise<boolean>): Promise<boolean> =>
    await until(async () => {
        const isServed = await ask();
        await sleep(isServed ? 0 : 200);
        return isServed;
    });

const hasStatus = async (url: string): Promise<boolean> => {
    try {
        return (await fetch(url, { signal: AbortSignal.timeout(2_000), headers: { connection: "close" } })).ok;
    }
    catch {
        return false;
    }
};

interface PortCase {
    readonly name: string;
    readonly count: number;
    readonly modules: readonly string[];
    readonly head: string;
    readonly getAddress: (instance: PlatformInstance) => string;
    readonly ask: (fleet: PlatformFleet, instance: PlatformInstance) => Promise<boolean>;
    readonly prepare?: (instance: PlatformInstance) => Promise<boolean>;
}

const askModel = async (fleet: PlatformFleet, instance: PlatformInstance): Promise<boolean> =>
    (await fleet.ask(instance, 10)).status === 200;

const PORTS: readonly PortCase[] = [
    {
        name: "the callers' port",
        count: 1,
        modules: [],
        head: CALLER_HEAD,
        getAddress: ({ callers }) => callers,
        ask: askModel,
    },
    {
        name: "the callers' port of an instance that hands off",
        count: 2,
        modules: [new URL("hand-off-always.js", import.meta.url).href],
        head: CALLER_HEAD,
        getAddress: ({ callers }) => callers,
        ask: askModel,
        prepare: instance => until(async () => (await getState(instance)).handoff.helper !== undefined),
    },
    {
        name: "the port for addresses",
        count: 1,
        modules: [],
        head: STATUS_HEAD,
        getAddress: ({ directory }) => directory,
        ask: async (fleet, instance) => (await fleet.resolve(instance)).length > 0,
    },
    {
        name: "the port for readiness",
        count: 1,
        modules: [],
        head: STATUS_HEAD,
        getAddress: ({ readiness }) => readiness,
        ask: async (_, { readiness }) => await hasStatus(`http://${readiness}/ospreyreel/readiness`),
    },
];

const runCrowd = async (t: ExecutionContext, port: PortCase, crowdCase: CrowdCase): Promise<void> => {
    const { count, modules } = port;
    const fleet = await PlatformFleet.start({
        count,
        modules,
        nodeArgs: NODE_ARGS,
        maxDescriptors: crowdCase.descriptors,
    });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined || await port.prepare?.(instance) === false) {
        return t.fail("not prepared");
    }
    t.true(await askUntilServed(() => port.ask(fleet, instance)));
    const watches = fleet.instances.map(({ process }) => new ProcessWatch(process));
    t.teardown(() => watches.forEach(watch => watch.close()));
    const crowd = await CallerCrowd.start(toAddress(port.getAddress(instance)), port.head, crowdCase);
    t.teardown(() => crowd.close());
    const isServed = await askUntilServed(() => port.ask(fleet, instance));
    for (const watch of watches) {
        const memory = await watch.readPeakMemory();
        t.log(`peak ${Math.round(memory / 1e6)} MB, ${watch.peakDescriptors} descriptors`);
        t.true(watch.isRunning);
        t.true(memory < MAX_MEMORY_BYTES, `${memory} bytes`);
        t.true(watch.peakDescriptors <= crowdCase.descriptors * MAX_OPEN_SHARE, `${watch.peakDescriptors} descriptors`);
    }
    t.true(isServed);
};

// Guards against an instance that callers outside of the limits bring down or keep from serving others.
for (const port of PORTS) {
    for (const crowdCase of CROWD_CASES) {
        test.serial(`${port.name} outlasts ${crowdCase.name}`, t => runCrowd(t, port, crowdCase));
    }
}
