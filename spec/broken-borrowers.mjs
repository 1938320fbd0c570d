/** Variants of Borrowers with one guard replaced, each of which the checker must reject by the named invariant. */
const reject = (guard, replacement) => ({
    spec: "Borrowers",
    cfg: "Borrowers",
    guard,
    replacement,
    invariant: "NotOverspent",
});

export const BROKEN_BORROWERS = [
    reject("window-counts-as-used", "out' = [out EXCEPT ![2] = out[1]]"),
    reject("later-epoch-refused", "TRUE"),
];
