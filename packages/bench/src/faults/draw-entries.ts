import type { RandomSource } from "./random-source.js";

/** A fault with its times, in milliseconds from the start of the load. */
export interface TimedFault<F> {
    readonly startMs: number;
    readonly durationMs: number;
    readonly fault: F;
}

/** Bounds of a schedule; times in milliseconds, both ends included. */
export interface ScheduleBounds {
    readonly faults: readonly [fewest: number, most: number];
    readonly longestStartMs: number;
    readonly durationMs: readonly [shortest: number, longest: number];
}

/** Draws faults that overlap, in the order of their starts; the same ones for the same draws. */
export const drawEntries = <F>(
    random: RandomSource,
    { faults, longestStartMs, durationMs }: ScheduleBounds,
    createFault: () => F,
): readonly TimedFault<F>[] =>
    Array.from({ length: random.int(...faults) }, () => ({
        startMs: random.int(0, longestStartMs),
        durationMs: random.int(...durationMs),
        fault: createFault(),
    })).toSorted((one, other) => one.startMs - other.startMs);
