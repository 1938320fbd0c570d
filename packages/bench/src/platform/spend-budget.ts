import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { MODEL_TOKENS, type PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

const PROMPT_TOKENS = 70;

/** Tokens that each request of {@link askServed} takes of its budget. */
export const TOKENS_EACH = PROMPT_TOKENS + MODEL_TOKENS;

/** Time in which an instance that was lost has a successor, and a ceiling is in each copy, in milliseconds. */
const MAX_PAUSE_MS = 12_000;

const PAUSE_MS = 5;
const ASK_AGAIN_MS = 50;

/** Asks instances in turn until so many requests are served, none is for a time, or the time is over. */
export const askServed = async (
    fleet: PlatformFleet,
    instances: readonly PlatformInstance[],
    count: number,
    endsAtMs = Number.POSITIVE_INFINITY,
): Promise<number> => {
    let served = 0;
    let lastServedAtMs = performance.now();
    const isOpen = (nowMs: number): boolean => nowMs - lastServedAtMs < MAX_PAUSE_MS && nowMs < endsAtMs;
    for (let turn = 0; served < count && isOpen(performance.now()); turn++) {
        const instance = instances[turn % instances.length];
        const answer = instance === undefined ? undefined : await fleet.ask(instance, PROMPT_TOKENS);
        if (answer?.status === 200) {
            served += 1;
            lastServedAtMs = performance.now();
        }
        await sleep(answer?.status === 200 ? PAUSE_MS : ASK_AGAIN_MS);
    }
    return served;
};

/** The instance that owns a budget; undefined while none does. */
export const findOwner = async (fleet: PlatformFleet): Promise<PlatformInstance | undefined> => {
    for (const instance of fleet.instances) {
        const state = await (await request(`http://${instance.metrics}/state`)).body.json() as {
            readonly budgets: readonly unknown[];
        };
        if (state.budgets.length > 0) {
            return instance;
        }
    }
    return undefined;
};
