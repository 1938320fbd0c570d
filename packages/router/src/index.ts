/** Caller-facing path: admit, reserve, dispatch, stream, bill. */
export type * from "./address-response.js";
export { getAddressResponse } from "./address-response.js";
export * from "./authenticate.js";
export * from "./caller-server.js";
export * from "./engine-attempt.js";
export * from "./error-body.js";
export * from "./forwarder.js";
export { isRequestPath } from "./get-request-context.js";
export * from "./listen.js";
export * from "./read-body.js";
export type * from "./request-context.js";
export * from "./request-coordinator.js";
export * from "./request-runner.js";
export * from "./sealed-stream-reader.js";
export * from "./service-attempt.js";
export * from "./target-gate.js";
