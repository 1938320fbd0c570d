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
}

const INTERVAL_MS = 200;
const TIMEOUT_MS = 5_000;

/** Asks all instances whether they are ready, as the platform does, which also shows how slow this machine is. */
export const probeReadiness = async (
    fleet: PlatformFleet,
    ended: AbortSignal,
): Promise<readonly ReadinessAnswer[]> => {
    const answers: ReadinessAnswer[] = [];
    await Promise.all(fleet.instances.map(async ({ name, readiness }) => {
        while (!ended.aborted) {
            const askedAtMs = performance.now();
            const status = await askReadiness(readiness);
            answers.push({ instance: name, askedAtMs, atMs: performance.now(), status });
            await sleep(INTERVAL_MS);
        }
    }));
    return answers;
};

const askReadiness = async (address: string): Promise<number | undefined> => {
    try {
        const signal = AbortSignal.timeout(TIMEOUT_MS);
        const res = await request(`http://${address}/ospreyreel/readiness`, { signal });
        await res.body.dump();
        return res.statusCode;
    }
    catch {
        return undefined;
    }
};
