import type { TargetNotes } from "@ospreyreel/types";
import type { TargetReport } from "../load/target-report.js";
import type { TargetCall } from "../targets/target-port.js";

/** Decoded head of a target's response. */
export type TargetHead =
    /** A response to the request, with its end-to-end headers. */
    | {
        readonly kind: "answer";
        readonly headers: readonly (readonly [string, string])[];
        readonly notes?: TargetNotes;
    }
    | { readonly kind: "not_run"; readonly reason: "full" | "other_target"; readonly notes?: TargetNotes; }
    /** A response to another request, or one that does not follow the protocol. */
    | { readonly kind: "invalid"; readonly cause: string; };

/** Format of the load reports of targets. */
export interface ReportFormat {
    /** Path of the request for a report. */
    readonly path: string;
    /** Decodes a response; undefined where it has no report. */
    readonly decode: (status: number, body: Buffer) => TargetReport | undefined;
}

/** Format of requests to targets and of their responses. */
export abstract class TargetProtocol {
    /** Headers of one send. */
    abstract encode(call: TargetCall): readonly (readonly [string, string])[];

    /** Decodes the head of a response. */
    abstract decode(
        call: TargetCall,
        status: number,
        headers: readonly (readonly [string, string])[],
    ): TargetHead;

    /** How targets report their load; undefined where they do not. */
    get reports(): ReportFormat | undefined {
        return undefined;
    }
}
