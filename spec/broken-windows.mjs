/** Variants of Windows with one guard replaced, each of which the checker must reject by the named invariant. */
const reject = (guard, replacement) => ({
    spec: "Windows",
    cfg: "Windows",
    guard,
    replacement,
    invariant: "UseIsCounted",
});

export const BROKEN_WINDOWS = [
    reject("within-bounds", "TRUE"),
    reject("window-never-shrinks", "TRUE"),
    reject("write-compares-revision", "TRUE"),
    reject("lower-limit-at-once", "cap' = cap"),
    reject("no-note-after-seal", "TRUE"),
    reject("noted-within-present-limit", "TRUE"),
    reject("two-witnesses", "Cardinality({w \\in Witnesses : notes[w] >= upTo}) >= 1"),
    reject("two-seals", "Cardinality(sealed) >= 1"),
    reject("floor-by-notes", "TRUE"),
    reject("floor-by-limit", "~HasQuorum => f >= claim[2]"),
    reject("claim-compares-revision", "TRUE"),
];
