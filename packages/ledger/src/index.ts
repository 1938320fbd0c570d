/** Grants, reservations, settlement and sealed copies. */
export type * from "./budget-source.js";
export * from "./codec.js";
export * from "./copy-codec.js";
export * from "./copy-link.js";
export * from "./copy-store.js";
export * from "./grant-size-policy.js";
export * from "./head-math.js";
export * from "./head-record.js";
export * from "./journal-entry.js";
export * from "./journal-index.js";
export type * from "./ledger-dump.js";
export * from "./ledger-keys.js";
export * from "./ledger.js";
export type * from "./reservation.js";
export * from "./shard-account.js";
export * from "./shard-store.js";
export * from "./stream-lookup.js";
export * from "./usage-rate.js";
