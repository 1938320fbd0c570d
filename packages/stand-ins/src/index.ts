/** Small stand-ins of outside systems, for tests and the demo only. */
export { getFreePorts } from "./common/free-ports.js";
export { joinMessages } from "./engine/completion-request.js";
export type { EngineFaults, EngineOptions } from "./engine/engine-options.js";
export { type EngineStandIn, startEngineStandIn } from "./engine/engine-stand-in.js";
export { type ExpectedAnswer, getExpectedAnswer } from "./engine/expected-answer.js";
export type { EngineRecord, RunRecord } from "./engine/stream-store.js";
export * from "./etcd/etcd-faults.js";
export * from "./etcd/etcd-stand-in.js";
export * from "./fault-proxy/fault-proxy.js";
export type * from "./fault-proxy/proxy-faults.js";
export * from "./instance-list/instance-list-stand-in.js";
export * from "./platform/platform-store-stand-in.js";
export * from "./platform/platform-target-stand-in.js";
export type * from "./platform/store-items.js";
export {
    type ServiceFaults,
    type ServiceOptions,
    type ServiceRecord,
    type ServiceStandIn,
    startServiceStandIn,
} from "./service/service-stand-in.js";
export {
    startWeightStoreStandIn,
    type WeightStoreOptions,
    type WeightStoreRecord,
    type WeightStoreStandIn,
} from "./weight-store/weight-store-stand-in.js";
