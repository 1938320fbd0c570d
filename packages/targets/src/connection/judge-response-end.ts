import type { ProcessState } from "./process-check.js";

/** What is announced of the start of a target that sent a response. */
export type TargetStanding = "serving" | "leaving" | "restarted";

/** What is known when the connection of a response without framing was closed in order. */
export interface EndEvidence {
    readonly standing: TargetStanding;
    /** Whether its process was found running after the end; undefined where nobody has looked. */
    readonly process: ProcessState | undefined;
}

/** What such an end means; `unknown` may be either. */
export type ResponseEnd = "whole" | "cut" | "unknown";

/**
 * Judges the end of a response without framing. The kernel closes the connections of a process in order whatever ends it: only a process that
 * goes on, or was about to leave, has ended the response itself.
 */
export const judgeResponseEnd = ({ standing, process }: EndEvidence): ResponseEnd => {
    if (standing === "leaving") {
        return "whole";
    }
    if (standing === "restarted" || process === "gone") {
        return "cut";
    }
    return process === "running" ? "whole" : "unknown";
};
