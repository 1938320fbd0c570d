/** One running target as it announces itself. */
export interface Target {
    /** Fresh for each start. */
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Requests it works on at once. */
    readonly slots: number;
    /** Whether it will stop soon and must get no new requests. */
    readonly leaving: boolean;
    /** Milliseconds since the epoch at its start, where it tells; a later start under the same id is another target. */
    readonly startedAtMs: number | undefined;
}
