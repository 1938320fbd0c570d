/** The ospreyreeld process: wiring, operator port, state dump, shutdown. */
export * from "./daemon-policies.js";
export * from "./daemon.js";
export * from "./run-daemon.js";
export type * from "./state-dump.js";
