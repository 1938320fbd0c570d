/** Numbered result codes and the error classes that carry them. */
export * from "./osprey-error.js";
export * from "./result-codes.js";
