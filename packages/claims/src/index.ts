/** Request keys: detects duplicate requests and finds the instance that runs them. */
export * from "./key-directory.js";
export * from "./key-locator.js";
export * from "./request-registry.js";
export * from "./shared-response.js";
