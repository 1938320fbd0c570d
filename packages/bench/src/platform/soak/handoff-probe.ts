import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { PlatformFleet } from "../platform-fleet.js";

const INTERVAL_MS = 500;
const TIMEOUT_MS = 1_000;
const COUNTER = /^\S*connections_handed_off\S* (\d+)$/m;

/** Counts the connections that instances hand off until the signal aborts; what a process counted just before its end is missed. */
export const countHandedOff = async (fleet: PlatformFleet, ended: AbortSignal): Promise<number> => {
    const counts = new Map<number, number>();
    await Promise.all(fleet.instances.map(async instance => {
        while (!ended.aborted) {
            const { pid } = instance.process;
            const count = COUNTER.exec(await readMetrics(instance.metrics))?.[1];
            if (count !== undefined) {
                counts.set(pid, Number(count));
            }
            await sleep(INTERVAL_MS);
        }
    }));
    return [...counts.values()].reduce((sum, count) => sum + count, 0);
};

const readMetrics = async (metrics: string): Promise<string> => {
    try {
        const res = await request(`http://${metrics}/metrics`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        return await res.body.text();
    }
    catch {
        return "";
    }
};
