/** Read-only data types that cross packages. */
export type * from "./address.js";
export type * from "./bill.js";
export type * from "./copy-entry.js";
export type * from "./instance-info.js";
export type * from "./instance-list.js";
export type * from "./intent.js";
export type * from "./peer-requests.js";
export type * from "./stream-ref.js";
export type * from "./versioned-document.js";
