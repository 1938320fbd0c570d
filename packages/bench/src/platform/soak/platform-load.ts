import type { PlatformFleet } from "../platform-fleet.js";
import type { DirectoryAnswer, PlatformCall } from "./platform-call.js";
import { PlatformCaller } from "./platform-caller.js";

/** Options of a load. */
export interface PlatformLoadOptions {
    readonly fleet: PlatformFleet;
    readonly seed: number;
    /** Callers for each instance. */
    readonly callersEach: number;
    /** Ends the load. */
    readonly ended: AbortSignal;
}

/** What callers saw. */
export interface PlatformLoadResult {
    readonly calls: readonly PlatformCall[];
    readonly directoryAnswers: readonly DirectoryAnswer[];
}

/** Sends requests of all kinds until it is ended. */
export const runPlatformLoad = async (
    { fleet, seed, callersEach, ended }: PlatformLoadOptions,
): Promise<PlatformLoadResult> => {
    const calls: PlatformCall[] = [];
    const directoryAnswers: DirectoryAnswer[] = [];
    const count = fleet.instances.length * callersEach;
    await Promise.all(Array.from({ length: count }, async (_, caller) =>
        await new PlatformCaller({
            fleet,
            seed: seed * count + caller,
            onCall: call => calls.push(call),
            onDirectoryAnswer: answer => directoryAnswers.push(answer),
        }).run(ended)));
    return { calls, directoryAnswers };
};
