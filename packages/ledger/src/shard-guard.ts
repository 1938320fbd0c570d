import type { KvCompare, KvEntry } from "@ospreyreel/kv";

/** A condition on another key that must hold in the same transaction as a change of a head. */
export abstract class ShardGuard {
    /** The compare to add. */
    abstract getCompare(): KvCompare;

    /**
     * Adopts the key's entry as read by a refused transaction; throws `incarnationClosed` where no further one can
     * succeed.
     */
    abstract recheck(entry: KvEntry | undefined): void;
}
