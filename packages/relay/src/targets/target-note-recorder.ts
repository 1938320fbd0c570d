import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "./target-directory.js";
import type { TargetOutcome } from "./target-port.js";
import { getStartKey, type Target } from "./target.js";

/** Options of {@link TargetNoteRecorder}. */
export interface TargetNoteRecorderOptions {
    readonly directory: Pick<TargetDirectory, "findStart">;
    readonly log: RelayLog;
    /** Called when a target has said in a response that it leaves. */
    readonly onLeaving: (target: Target) => void;
}

/** Applies what targets say of themselves in their responses, before the responses are passed on. */
export class TargetNoteRecorder {
    constructor(private readonly opts: TargetNoteRecorderOptions) {}

    /** Records the notes of a response. */
    record(target: Target, outcome: TargetOutcome): void {
        if (outcome.kind !== "answer" && outcome.kind !== "not_run") {
            return;
        }
        const state = this.opts.directory.findStart(getStartKey(target));
        if (state === undefined) {
            return;
        }
        const { isLeaving = false, pauseMs } = outcome.notes ?? {};
        if (isLeaving && !state.target.leaving) {
            this.opts.onLeaving(state.target);
        }
        if (pauseMs !== undefined) {
            state.pause(performance.now() + pauseMs);
            this.opts.log.write("target paused", { target: target.id, ms: pauseMs });
        }
    }
}
