/** One running target as it announces itself. */
export interface Target {
    /** New for each start. */
    readonly id: string;
    readonly service: string;
    /** Version of its software, if announced; streams of different versions do not fit together. */
    readonly version: string | undefined;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Requests that the target handles concurrently. */
    readonly slots: number;
    /** Whether the target will stop soon and must get no new requests. */
    readonly leaving: boolean;
    /** Start time in Unix milliseconds, if announced; a later start under the same id is another target. */
    readonly startedAtMs: number | undefined;
    /** Time for which it was still cold when it announced itself, in milliseconds; undefined where it does not say. */
    readonly coldRemainingMs?: number | undefined;
}

/** Names one start of one target. */
export const getStartKey = ({ id, startedAtMs }: Target): string => `${id}@${startedAtMs ?? ""}`;
