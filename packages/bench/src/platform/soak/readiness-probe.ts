import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { PlatformFleet } from "../platform-fleet.js";

/** One question whether an instance is ready; times are monotonic, in milliseconds. */
export interface ReadinessAnswer {
    readonly instance: string;
    readonly askedAtMs: number;
    readonly atMs: number;
    /** Undefined without a response. */
    readonly status: number | undefined;
    /** Time that a request on a new connection took that the instance refuses as malformed, on the way of callers. */
    readonly callerPathMs: number;
}

const INTERVAL_MS = 200;
const TIMEOUT_MS = 5_000;

/**
 * Asks all instances whether they are ready, as the platform does, and measures the way of callers, on which the rig
 * itself accepts one connection in each turn of its event loop.
 */
export const probeReadiness = async (
    fleet: PlatformFleet,
    ended: AbortSignal,
): Promise<readonly ReadinessAnswer[]> => {
    const answers: ReadinessAnswer[] = [];
    await Promise.all(fleet.instances.map(async ({ name, readiness, callers }) => {
        const proxy = fleet.getCallerProxy(callers)?.address;
        const path = proxy === undefined ? callers : `${proxy.host}:${proxy.port}`;
        while (!ended.aborted) {
            const askedAtMs = performance.now();
            const status = await ask(`${readiness}/ospreyreel/readiness`);
            const atMs = performance.now();
            await ask(`${path}/`, { connection: "close" });
            answers.push({ instance: name, askedAtMs, atMs, status, callerPathMs: performance.now() - atMs });
            await sleep(INTERVAL_MS);
        }
    }));
    return answers;
};

const ask = async (url: string, headers: Readonly<Record<string, string>> = {}): Promise<number | undefined> => {
    try {
        const res = await request(`http://${url}`, { headers, signal: AbortSignal.timeout(TIMEOUT_MS) });
        await res.body.dump();
        return res.statusCode;
    }
    catch {
        return undefined;
    }
};
