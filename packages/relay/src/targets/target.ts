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
    /** Grows with each announcement of one start, if announced. */
    readonly seq?: number | undefined;
}

/** Which of a target's announcements one is. */
export interface Announcement {
    /** Revision of the KV service at which it was written; a later one may be smaller after the service came back from a copy. */
    readonly revision: number;
    readonly seq: number | undefined;
}

/** Names one start of one target. */
export const getStartKey = ({ id, startedAtMs }: Target): string => `${id}@${startedAtMs ?? ""}`;
