/** Links between instances, membership and address order. */
export * from "./address-book.js";
export * from "./address-order.js";
export { connect } from "./connect.js";
export * from "./copy-holder.js";
export { wasNotSent } from "./errors.js";
export * from "./even-spread-address-order.js";
export * from "./io-timeout.js";
export * from "./lingering-close.js";
export * from "./link-view.js";
export * from "./name-scores.js";
export * from "./order-by-cores.js";
export * from "./peer-hub.js";
export * from "./place-shards.js";
export * from "./rendezvous-address-order.js";
export * from "./rendezvous.js";
export * from "./stop-listening.js";
export * from "./tcp-peer-hub-options.js";
export * from "./tcp-peer-hub.js";
