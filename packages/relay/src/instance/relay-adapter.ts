import type { KvHealth, PolledKvClient } from "@ospreyreel/kv";
import type { DocumentCodec } from "../document/document-codec.js";
import type { CallerProtocol } from "../http/caller-protocol.js";
import type { QuestionAnswer } from "../http/question-port.js";
import type { TargetProtocol } from "../http/target-protocol.js";
import type { TargetCodec } from "../targets/target-codec.js";

/** What the platform asks of an instance, and callers of its directory. */
export interface InstanceView {
    /** Whether requests are taken. */
    readonly isReady: boolean;
    /** Addresses for callers, as IP:PORT. */
    readonly addresses: readonly string[];
    /** Time for which callers may keep the addresses, in seconds. */
    readonly addressTtlS: number;
}

/** How an instance speaks with the platform around it; it decides nothing. */
export abstract class RelayAdapter {
    abstract readonly documents: DocumentCodec;
    abstract readonly targets: TargetCodec;
    abstract readonly callers: CallerProtocol;
    abstract readonly sends: TargetProtocol;

    /** Makes the client of the KV service at an address; its changes tell the health of their calls. */
    abstract createKvClient(address: string, deadlineMs: number, health: KvHealth): PolledKvClient;

    /** Answers whether the instance is ready. */
    abstract answerReadiness(method: string, url: URL, view: InstanceView): QuestionAnswer;

    /** Answers a caller that asks for addresses. */
    abstract answerDirectory(method: string, url: URL, view: InstanceView): QuestionAnswer;
}
