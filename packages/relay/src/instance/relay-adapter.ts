import type { KvCall, KvHealth, PolledKvClient } from "@ospreyreel/kv";
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

/** Whose addresses a caller asks for. */
export interface DirectoryQuery {
    /** Host of the routes that it calls; undefined where it does not say. */
    readonly host: string | undefined;
    /** The caller's region; undefined where it does not say. */
    readonly region: string | undefined;
}

/** Options of {@link RelayAdapter.createKvClient}. */
export interface KvClientOptions {
    /** Host and port of the KV service. */
    readonly address: string;
    /** Maximum time without progress of a call, in milliseconds. */
    readonly deadlineMs: number;
    /** Records the outcomes of the change reader's calls. */
    readonly health: KvHealth;
    /** Called with each call that is sent. */
    readonly onCall: (call: KvCall) => void;
}

/** The platform's protocols and formats; contains no decisions. */
export abstract class RelayAdapter {
    abstract readonly documentCodec: DocumentCodec;
    abstract readonly targetCodec: TargetCodec;
    abstract readonly callerProtocol: CallerProtocol;
    abstract readonly targetProtocol: TargetProtocol;

    /** Creates the client of the KV service. */
    abstract createKvClient(opts: KvClientOptions): PolledKvClient;

    /** Responds to a readiness check. */
    abstract handleReadinessRequest(method: string, url: URL, view: InstanceView): StatusPortResponse;

    /** Decodes a caller's request for addresses. */
    abstract decodeDirectoryQuery(url: URL): DirectoryQuery;

    /** Responds to a caller's request for addresses. */
    abstract handleDirectoryRequest(method: string, url: URL, view: InstanceView): StatusPortResponse;
}
