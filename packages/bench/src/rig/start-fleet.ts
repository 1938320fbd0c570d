import { getFreePorts, startFaultProxy } from "@ospreyreel/stand-ins";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FleetInstance } from "./fleet-instance.js";
import { type FleetLinks, startFleetLinks } from "./fleet-links.js";
import type { FleetOptions } from "./fleet-options.js";
import { Fleet } from "./fleet.js";
import { createSettings, type InstancePlan, OPERATOR_TOKEN } from "./instance-settings.js";
import { type Platform, startPlatform, toUrl } from "./platform.js";
import { getScriptPath, toRedirectOptions } from "./redirects.js";

const DEFAULT_INSTANCES = 3;
const MAX_STARTS = 3;
const DEFAULT_ZONES = ["zone-a", "zone-b", "zone-c"];

const planInstances = async (count: number, zones: readonly string[]): Promise<readonly InstancePlan[]> => {
    const ports = await getFreePorts(2 * count);
    return [...Array(count).keys()].map(index => ({
        name: `instance-${index}`,
        availabilityZone: zones[index % zones.length] ?? DEFAULT_ZONES[0] as string,
        caller: ports[2 * index] ?? 0,
        peer: ports[2 * index + 1] ?? 0,
    }));
};

interface InstanceContext {
    readonly opts: FleetOptions;
    readonly platform: Platform;
    readonly links: FleetLinks | undefined;
    readonly dir: string;
}

const createInstance = async (plan: InstancePlan, index: number, ctx: InstanceContext): Promise<FleetInstance> => {
    const { opts, platform, links, dir } = ctx;
    const kvAddress = platform.kv.ready.address;
    if (kvAddress === undefined) {
        throw new Error("the key-value stand-in told no address");
    }
    const kvProxy = await startFaultProxy({ target: kvAddress });
    const listUrl = new URL(platform.listUrl);
    const listProxy = await startFaultProxy({ target: { host: listUrl.hostname, port: Number(listUrl.port) } });
    const urls = { kv: toUrl(kvProxy.address), list: `${toUrl(listProxy.address)}${listUrl.pathname}` };
    const settings = createSettings(plan, urls, opts.region ?? "region-1", opts.settings ?? {});
    const file = join(dir, `${plan.name}.json`);
    await writeFile(file, JSON.stringify(settings, undefined, 4));
    const redirected = links === undefined ? { env: {}, nodeArgs: [] } : toRedirectOptions(links.getRedirects(index));
    return new FleetInstance({
        name: plan.name,
        availabilityZone: plan.availabilityZone,
        peer: { host: "127.0.0.1", port: plan.peer },
        operatorToken: OPERATOR_TOKEN,
        kvProxy,
        listProxy,
        process: {
            script: opts.daemon?.script ?? getScriptPath("daemon/dist/main.js"),
            args: ["--settings", file, ...opts.daemon?.args ?? []],
            env: { ...opts.env, ...redirected.env },
            ...(opts.maxDescriptors === undefined ? {} : { maxDescriptors: opts.maxDescriptors }),
            nodeArgs: [...redirected.nodeArgs, ...opts.daemon?.nodeArgs ?? []],
        },
    });
};

const tryStartFleet = async (opts: FleetOptions): Promise<Fleet> => {
    const plans = await planInstances(opts.instances ?? DEFAULT_INSTANCES, opts.zones ?? DEFAULT_ZONES);
    const [platform, dir] = await Promise.all([startPlatform(opts), mkdtemp(join(tmpdir(), "ospreyreel-rig-"))]);
    const links = opts.withLinks === true ? await startFleetLinks(plans) : undefined;
    const ctx: InstanceContext = { opts, platform, links, dir };
    const instances = await Promise.all(plans.map((plan, index) => createInstance(plan, index, ctx)));
    const fleet = new Fleet(platform, instances, links, dir);
    await fleet.publishList();
    const starts = await Promise.allSettled(instances.map(instance => instance.start()));
    const failed = starts.find(start => start.status === "rejected");
    if (failed !== undefined) {
        await fleet.close();
        throw failed.reason;
    }
    return fleet;
};

const isPortTaken = (err: unknown): boolean => err instanceof Error && err.message.includes("EADDRINUSE");

/** Starts the platform, the targets and the instances, and applies the first document. */
export const startFleet = async (opts: FleetOptions): Promise<Fleet> => {
    let fleet: Fleet | undefined;
    for (let attempt = 1; fleet === undefined; attempt++) {
        try {
            fleet = await tryStartFleet(opts);
        }
        catch (err) {
            // A port that was free when it was chosen may be taken when it is listened on.
            if (attempt === MAX_STARTS || !isPortTaken(err)) {
                throw err;
            }
        }
    }
    const started = fleet;
    opts.cleanup?.teardown(() => started.close());
    if (opts.createDocument !== undefined) {
        await fleet.apply(opts.createDocument(fleet.targets));
    }
    return fleet;
};
