import { createHash } from "node:crypto";
import type { MemberRecord } from "./messages.js";

/** Buckets of a digest; more make the digest longer and the reply with differing records shorter. */
const BUCKET_COUNT = 32;

/** Bytes of a hash; a bucket's digest is the XOR of the hashes of its records. */
const HASH_BYTES = 4;

interface HashedRecord {
    readonly bucket: number;
    readonly hash: number;
}

/** Cached, since digests are computed far more often than records change. */
const hashedRecords = new WeakMap<MemberRecord, HashedRecord>();

const getHash = (text: string): number => createHash("sha256").update(text).digest().readUIntBE(0, HASH_BYTES);

const getHashedRecord = (record: MemberRecord): HashedRecord => {
    const known = hashedRecords.get(record);
    if (known !== undefined) {
        return known;
    }
    const bucket = getHash(record.info.instance) % BUCKET_COUNT;
    const fresh = { bucket, hash: getHash(`${record.info.incarnation} ${record.version}`) };
    hashedRecords.set(record, fresh);
    return fresh;
};

/** Returns the digests of records by bucket, the same for the same records in any order. */
export const getDigests = (records: readonly MemberRecord[]): readonly number[] => {
    const digests = Array.from({ length: BUCKET_COUNT }, () => 0);
    for (const { bucket, hash } of records.map(getHashedRecord)) {
        digests[bucket] = ((digests[bucket] ?? 0) ^ hash) >>> 0;
    }
    return digests;
};

/** Returns the records in buckets whose digest differs from the peer's. */
export const getDifferingRecords = (
    records: readonly MemberRecord[],
    theirs: readonly number[],
): readonly MemberRecord[] => {
    const ours = getDigests(records);
    return records.filter(record => {
        const { bucket } = getHashedRecord(record);
        return ours[bucket] !== theirs[bucket];
    });
};

/** Whether two digests represent the same records. */
export const areDigestsEqual = (a: readonly number[], b: readonly number[]): boolean =>
    a.length === b.length && a.every((value, i) => value === b[i]);
