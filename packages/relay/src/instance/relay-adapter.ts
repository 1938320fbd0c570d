import type { KvHealth, PolledKvClient } from "@ospreyreel/kv";
import type { DocumentCodec } from "../document/document-codec.js";
import type { CallerProtocol } from "../http/caller-protocol.js";
import type { StatusPortResponse } from "../http/status-port.js";
import type { TargetProtocol } from "../http/target-protocol.js";
import type { TargetCodec } from "../targets/target-codec.js";

/** State of an instance for the readiness check and the directory. */
export interface InstanceView {
    /** Whether requests are accepted. */
    readonly isReady: boolean;
    /** Addresses for callers, as IP:PORT. */
    readonly addresses: readonly string[];
    /** Time for which callers may cache the addresses, in seconds. */
    readonly addressTtlS: number;
}

/** The platform's protocols and formats; contains no decisions. */
export abstract class RelayAdapter {
    abstract readonly documentCodec: DocumentCodec;
    abstract readonly targetCodec: TargetCodec;
    abstract readonly callerProtocol: CallerProtocol;
    abstract readonly targetProtocol: TargetProtocol;

    /**
     * Creates the client of the KV service at an address; its change reader reports the outcome of its calls to
     * `health`.
     */
    abstract createKvClient(address: string, deadlineMs: number, health: KvHealth): PolledKvClient;

    /** Responds to a readiness check. */
    abstract handleReadinessRequest(method: string, url: URL, view: InstanceView): StatusPortResponse;

    /** Responds to a caller's request for addresses. */
    abstract handleDirectoryRequest(method: string, url: URL, view: InstanceView): StatusPortResponse;
}
