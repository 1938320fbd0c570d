import type { PlatformFleet, PlatformInstance } from "../platform-fleet.js";
import type { DirectoryAnswer, PlatformCall } from "./platform-call.js";
import { PlatformCaller } from "./platform-caller.js";

/** Options of a load. */
export interface PlatformLoadOptions {
    readonly fleet: PlatformFleet;
    readonly seed: number;
    /** Callers for each instance. */
    readonly callersEach: number;
    /** Instances that further callers stay at; none by default. */
    readonly staysAt?: readonly PlatformInstance[];
    /** Whether callers also use HTTP/1.0 and have targets end their answers in all ways; false by default. */
    readonly variesEnds?: boolean;
    /** Ends the load. */
    readonly ended: AbortSignal;
}

/** What callers saw. */
export interface PlatformLoadResult {
    readonly calls: readonly PlatformCall[];
    readonly directoryAnswers: readonly DirectoryAnswer[];
}

/** Callers that stay at each of these instances. */
const STAYING_CALLERS = 16;

/** Sends requests of all kinds until it is ended. */
export const runPlatformLoad = async (
    { fleet, seed, callersEach, staysAt = [], variesEnds = false, ended }: PlatformLoadOptions,
): Promise<PlatformLoadResult> => {
    const calls: PlatformCall[] = [];
    const directoryAnswers: DirectoryAnswer[] = [];
    const count = fleet.instances.length * callersEach;
    const staying = staysAt.flatMap(instance => Array.from({ length: STAYING_CALLERS }, () => ({ staysAt: instance })));
    const places = [...Array.from({ length: count }, () => ({})), ...staying];
    await Promise.all(places.map(async (place, caller) =>
        await new PlatformCaller({
            fleet,
            seed: seed * count + caller,
            ...place,
            variesEnds,
            onCall: call => calls.push(call),
            onDirectoryAnswer: answer => directoryAnswers.push(answer),
        }).run(ended)
    ));
    return { calls, directoryAnswers };
};
