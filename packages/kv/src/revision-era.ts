/** Revisions that fit into one era; a service counts changes and stays far below. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Revision that no entry of a service has. */
const UNKNOWN_REVISION = Number.MAX_SAFE_INTEGER;

/**
 * Returns a revision that also increases when the service restarts from an older copy and assigns its revisions again,
 * which begins a new era. 0 stands for a missing entry in every era.
 */
export const toRevision = (era: number, storeRevision: number): number =>
    storeRevision === 0 ? 0 : era * REVISIONS_PER_ERA + storeRevision;

/** Returns the era of a revision. */
export const getEra = (revision: number): number => Math.floor(revision / REVISIONS_PER_ERA);

/** Returns the service's own number of a revision. */
export const toStoreRevision = (revision: number): number => revision % REVISIONS_PER_ERA;

/** Returns the number for a condition on a revision, which never holds for an entry of an earlier era. */
export const toConditionRevision = (revision: number, currentEra: number): number =>
    revision === 0 || getEra(revision) === currentEra ? toStoreRevision(revision) : UNKNOWN_REVISION;
