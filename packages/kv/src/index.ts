/** Client of the platform's key-value service. */
export * from "./breaker-kv-client.js";
export * from "./etcd-kv-client.js";
export * from "./kv-call.js";
export * from "./kv-change-reader.js";
export * from "./kv-client.js";
export type * from "./kv-entry.js";
export type * from "./kv-event.js";
export * from "./kv-health.js";
export * from "./kv-history.js";
export type * from "./kv-txn.js";
export * from "./kv-watch-source.js";
export * from "./polled-kv-client.js";
export * from "./polling-kv-watch.js";
export * from "./revision-era.js";
