import { BROKEN_BILLS } from "./broken-bills.mjs";
import { BROKEN_BORROWERS } from "./broken-borrowers.mjs";
import { BROKEN_CONFIG } from "./broken-config.mjs";
import { BROKEN_GRANTS } from "./broken-grants.mjs";
import { BROKEN_RESTORES } from "./broken-restores.mjs";
import { BROKEN_WINDOWS } from "./broken-windows.mjs";

/** Models that must hold in every reachable state. */
export const MODELS = [
    { spec: "Grants", cfg: "Grants" },
    { spec: "Grants", cfg: "GrantsChange" },
    { spec: "Grants", cfg: "GrantsRecall" },
    { spec: "Bills", cfg: "Bills" },
    { spec: "Bills", cfg: "BillsNonIdempotent" },
    { spec: "Config", cfg: "Config" },
    { spec: "Config", cfg: "ConfigStart" },
    { spec: "Windows", cfg: "Windows" },
    { spec: "Borrowers", cfg: "Borrowers" },
    { spec: "Restores", cfg: "Restores" },
];

/** Larger ones, run on request only: `npm run spec -- --deep`. */
export const DEEP_MODELS = [
    { spec: "Grants", cfg: "GrantsThreeEpochs", maxStates: 200_000 },
    { spec: "Grants", cfg: "GrantsAll", maxStates: 200_000 },
    { spec: "Config", cfg: "ConfigAll", maxStates: 200_000 },
    { spec: "Restores", cfg: "RestoresTwice", maxStates: 200_000 },
];

/** Variants with one guard replaced, each of which the checker must reject by the named invariant. */
export const BROKEN_VARIANTS = [
    ...BROKEN_GRANTS,
    ...BROKEN_BILLS,
    ...BROKEN_CONFIG,
    ...BROKEN_WINDOWS,
    ...BROKEN_BORROWERS,
    ...BROKEN_RESTORES,
];
