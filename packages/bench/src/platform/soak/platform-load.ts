import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../faults/random-source.js";
import type { PlatformFleet } from "../platform-fleet.js";
import type { PlatformCall } from "./platform-call.js";

/** Callers that send side by side; each has its own draws. */
const CALLERS = 6;

/** Longest pause of a caller between two requests, in milliseconds; some thirty requests a second in all. */
const LONGEST_PAUSE_MS = 300;

const LONGEST_PROMPT = 600;

/** Options of a load. */
export interface PlatformLoadOptions {
    readonly fleet: PlatformFleet;
    readonly seed: number;
    /** Ends the load. */
    readonly ended: AbortSignal;
}

/** Sends requests of all kinds to all instances until it is ended; resolves with all of them. */
export const runPlatformLoad = async (
    { fleet, seed, ended }: PlatformLoadOptions,
): Promise<readonly PlatformCall[]> => {
    const calls: PlatformCall[] = [];
    const callOnce = async (random: RandomSource): Promise<void> => {
        const instance = random.pick(fleet.instances);
        const kind = random.pick(["plain", "once", "model", "model"] as const);
        const promptTokens = random.int(1, LONGEST_PROMPT);
        const id = fleet.nextId();
        const headers = { "attempt-id": id };
        const answer = kind === "model"
            ? await fleet.ask(instance, promptTokens, headers)
            : await fleet.call(instance, `/${kind}/x`, headers);
        calls.push({ kind, id, promptTokens, answer });
    };
    await Promise.all(Array.from({ length: CALLERS }, async (_, caller) => {
        const random = new RandomSource(seed * CALLERS + caller);
        while (!ended.aborted) {
            await callOnce(random);
            await sleep(random.int(0, LONGEST_PAUSE_MS));
        }
    }));
    return calls;
};
