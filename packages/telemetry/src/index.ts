/** Counters and logs shared by all processes. */
export * from "./counters.js";
export * from "./log.js";
