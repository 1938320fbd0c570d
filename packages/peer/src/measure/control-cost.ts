/** Measures what membership costs each instance: `node dist/measure/control-cost.js INSTANCES [SECONDS]`; prints JSON. */
import { Counters } from "@ospreyreel/telemetry";
import { setTimeout as sleep } from "node:timers/promises";
import { createTcpPeerHub, type TcpPeerHub } from "../tcp-peer-hub.js";

const HOST = "127.0.0.1";
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;

/** Availability zones of the simulated fleet; three are a region. */
const MAX_ZONES = 19;
const ZONES_PER_REGION = 3;

/** Time for links to settle after all have joined, in milliseconds; longer than idle links stay open. */
const SETTLE_MS = 15_000;

/** Time between the joins of two instances, in milliseconds. */
const JOIN_GAP_MS = 100;

const startHub = (i: number, zones: number, counters: Counters): Promise<TcpPeerHub> => {
    const zone = i % zones;
    const self = {
        instance: `instance-${i}`,
        incarnation: crypto.randomUUID(),
        availabilityZone: `zone-${zone}`,
        region: `region-${Math.floor(zone / ZONES_PER_REGION)}`,
        caller: { host: HOST, port: 1 },
        peer: { host: HOST, port: 0 },
        state: "live" as const,
        configRevision: 1,
    };
    return createTcpPeerHub({ self, listen: { host: HOST, port: 0 }, sharedKey: "measure", counters });
};

const waitUntilJoined = async (hubs: readonly TcpPeerHub[]): Promise<number> => {
    const startedAtMs = performance.now();
    while (hubs.some(hub => hub.peers().length < hubs.length - 1)) {
        await sleep(100);
    }
    return performance.now() - startedAtMs;
};

const measure = async (instances: number, seconds: number): Promise<void> => {
    const counters = new Counters();
    const zones = Math.min(MAX_ZONES, Math.max(ZONES_PER_REGION, Math.ceil(instances / 5)));
    const hubs = await Promise.all([...Array(instances).keys()].map(i => startHub(i, zones, counters)));
    const addresses = hubs.map(hub => hub.self().peer);
    // One process runs all instances; if all joined at the same time, it would be too busy to handle heartbeats.
    for (const hub of hubs) {
        hub.setPeerAddresses(addresses);
        await sleep(JOIN_GAP_MS);
    }
    const joinMs = await waitUntilJoined(hubs);
    const joinBytes = counters.get("peer_bytes_sent") / instances;
    await sleep(SETTLE_MS);
    const sentBefore = counters.get("peer_bytes_sent");
    const cpuBefore = process.cpuUsage();
    await sleep(seconds * MS_PER_S);
    const cpu = process.cpuUsage(cpuBefore);
    const sent = counters.get("peer_bytes_sent") - sentBefore;
    const links = hubs.reduce((sum, hub) => sum + hub.linkCount, 0);
    const cpuMs = (cpu.user + cpu.system) / US_PER_MS;
    console.log(JSON.stringify({
        instances,
        zones,
        seconds,
        linksPerInstance: links / instances,
        sentBytesPerSPerInstance: Math.round(sent / instances / seconds),
        cpuPercentPerInstance: Number((100 * cpuMs / (seconds * MS_PER_S) / instances).toFixed(3)),
        joinMs: Math.round(joinMs),
        joinBytesPerInstance: Math.round(joinBytes),
        rssMb: Math.round(process.memoryUsage.rss() / 1_048_576),
    }));
    await Promise.all(hubs.map(hub => hub.close()));
};

await measure(Number(process.argv[2] ?? "3"), Number(process.argv[3] ?? "10"));
