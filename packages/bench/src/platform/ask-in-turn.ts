import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer, PlatformFleet } from "./platform-fleet.js";

/** Asks each instance in turn for an answer of a model, at an interval in milliseconds, and returns all answers. */
export const askInTurn = async (
    fleet: PlatformFleet,
    runMs: number,
    intervalMs: number,
): Promise<readonly CallerAnswer[]> => {
    const endsAtMs = performance.now() + runMs;
    const answers: Promise<CallerAnswer>[] = [];
    for (let index = 0; performance.now() < endsAtMs; index++) {
        const instance = fleet.instances[index % fleet.instances.length];
        if (instance !== undefined) {
            answers.push(fleet.ask(instance, 60, { "prompt-prefix": `a${index}:20,b${index}:20` }));
        }
        await sleep(intervalMs);
    }
    return await Promise.all(answers);
};
