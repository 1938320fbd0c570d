import { judgeResponseEnd, ProcessCheck, type ResponseEnd } from "@ospreyreel/targets";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { Target } from "../targets/target.js";

/** Tells what the ordinary end of a connection says of an unframed response on it. */
export abstract class ResponseEnds {
    /** Judges the end of a response of the target that has just come; does not throw. */
    abstract judge(target: Target, isStream: boolean): Promise<ResponseEnd>;
}

/**
 * Time for which a connection to the target must stay open, in milliseconds. The kernel closes the listener of a killed process last, 40 ms after
 * some hundred connections.
 */
const STREAM_HOLD_MS = 40;

/** The same for other responses, whose caller has nothing before their end. */
const HOLD_MS = 10;

/** Options of {@link CheckedResponseEnds}. */
export interface CheckedResponseEndsOptions {
    readonly directory: Pick<TargetDirectory, "getStanding">;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** A new one by default. */
    readonly processes?: Pick<ProcessCheck, "check">;
}

/** Judges ends by what targets announce, and by whether their process is still running. */
export class CheckedResponseEnds extends ResponseEnds {
    private readonly processes: Pick<ProcessCheck, "check">;

    constructor(private readonly opts: CheckedResponseEndsOptions) {
        super();
        this.processes = opts.processes ?? new ProcessCheck();
    }

    override async judge(target: Target, isStream: boolean): Promise<ResponseEnd> {
        const { directory, log, count } = this.opts;
        const endedAtMs = performance.now();
        if (directory.getStanding(target) === "leaving") {
            count("unframed_ends_leaving");
            return "whole";
        }
        const process = await this.processes.check(target, isStream ? STREAM_HOLD_MS : HOLD_MS);
        const end = judgeResponseEnd({ standing: directory.getStanding(target), process });
        count(`unframed_ends_${end}`);
        if (end !== "whole") {
            const ms = Math.round(performance.now() - endedAtMs);
            log.write("end of a response not confirmed", { target: target.id, service: target.service, process, ms });
        }
        return end;
    }
}
