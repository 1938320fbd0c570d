import { STAND_IN_HEADERS } from "@ospreyreel/stand-ins";
import type { RandomSource } from "../../faults/random-source.js";
import { MODEL_EVENTS } from "../platform-fleet.js";
import type { CallPlan } from "./send-call.js";

/** One answer of so many ends before its last event, if it is a stream. */
const EARLY_ENDS_ONE_IN = 5;

/** Draws the protocol of a caller, the framing of its answer and how its target ends that. */
export const drawResponseForm = (random: RandomSource): Pick<CallPlan, "httpVersion" | "headers"> => {
    const httpVersion = random.pick(["1.1", "1.1", "1.0"] as const);
    const framing = random.pick(["none", "none", "length", "chunks"] as const);
    const endsEarly = random.int(1, EARLY_ENDS_ONE_IN) === 1;
    const end = random.pick([STAND_IN_HEADERS.resetAfter, STAND_IN_HEADERS.closeAfter]);
    const afterEvents = random.int(1, MODEL_EVENTS - 1);
    const isBetweenEvents = random.int(0, 1) > 0;
    return {
        httpVersion,
        headers: {
            [STAND_IN_HEADERS.framing]: framing,
            ...(endsEarly
                ? { [end]: String(afterEvents), [STAND_IN_HEADERS.betweenEvents]: String(isBetweenEvents) }
                : {}),
        },
    };
};
