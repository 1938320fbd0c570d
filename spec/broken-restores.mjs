/** Variants of Restores with one guard replaced, each of which the checker must reject by the named invariant. */
const reject = (guard, replacement) => ({
    spec: "Restores",
    cfg: "Restores",
    guard,
    replacement,
    invariant: "NoOverspend",
});

export const BROKEN_RESTORES = [
    reject("within-window", "TRUE"),
    reject("below-each-ceiling", "TRUE"),
    reject("older-than-each-copy", "TRUE"),
    reject("not-superseded", "TRUE"),
    reject("record-of-this-era", "TRUE"),
];
