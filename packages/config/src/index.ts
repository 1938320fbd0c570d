/** Settings and the operators' document: schema, validation, diff, edits, distribution between instances. */
export * from "./document/document-diff.js";
export * from "./document/document-schema.js";
export type * from "./document/document.js";
export * from "./document/parse-document.js";
export * from "./document/queries.js";
export * from "./document/review-document.js";
export * from "./document/succession.js";
export * from "./json/checked-json.js";
export * from "./json/fault.js";
export * from "./json/shape.js";
export * from "./operator-api/operator-api.js";
export type * from "./operator-api/operator-messages.js";
export * from "./settings/parse-settings.js";
export * from "./settings/settings-schema.js";
export type * from "./settings/settings.js";
export * from "./store/config-store.js";
export type { AppliedEdit, DocumentEdit } from "./store/document-edit.js";
export type { CurrentDocument } from "./store/document-holder.js";
