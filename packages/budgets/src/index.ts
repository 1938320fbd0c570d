/** Prepaid budgets, each owned by one instance at a time, with bounds on their use written ahead. */
export * from "./borrowed-budget.js";
export * from "./budget-log.js";
export * from "./budget-owner.js";
export * from "./budget-witness.js";
export * from "./fleet-budgets.js";
export * from "./owner-finder.js";
export * from "./shard-record.js";
export * from "./window-policy.js";
