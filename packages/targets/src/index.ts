/** Targets: client, pool, choice, admission and orders. */
export * from "./client/target-calls.js";
export * from "./client/target-client.js";
