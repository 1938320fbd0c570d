/** The operators' console: the page's files for the daemon, and the page's logic for tests without a browser. */
export * from "./console-files.js";
export * from "./page/document/json-with-comments.js";
export * from "./page/fleet/edit-session.js";
export * from "./page/fleet/operator-calls.js";
export * from "./page/form/create-initial-value.js";
export type * from "./page/form/form-schema.js";
