/** Witnesses that must accept a note before it counts. */
export const getNoteQuorum = (witnesses: number): number => Math.floor(witnesses / 2) + 1;

/** Witnesses that must be sealed so that no further note can count and all notes that counted are known. */
export const getSealQuorum = (witnesses: number): number => witnesses - getNoteQuorum(witnesses) + 1;

/** Seals that most takeovers get although many instances are lost at once. */
const MAX_TAKEOVER_SEALS = 2;

/**
 * Seals with which a successor of an owner that may be alive hands tokens out at once. With fewer the owner might go on after a
 * restore of the KV service that loses the successor's record. Infinite where there are no witnesses.
 */
export const getTakeoverQuorum = (witnesses: number): number =>
    witnesses === 0 ? Number.POSITIVE_INFINITY : Math.min(MAX_TAKEOVER_SEALS, getSealQuorum(witnesses));

/** Witnesses that must be unsealed so that no successor has handed tokens out. */
export const getUnsealedQuorum = (witnesses: number): number =>
    witnesses === 0 ? 0 : witnesses - getTakeoverQuorum(witnesses) + 1;
