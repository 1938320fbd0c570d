import test from "ava";
import { type EndEvidence, judgeResponseEnd, type ResponseEnd } from "./judge-response-end.js";

const CASES: readonly (readonly [EndEvidence["standing"], EndEvidence["process"], ResponseEnd])[] = [
    ["serving", "running", "whole"],
    ["serving", "gone", "cut"],
    ["serving", "unknown", "unknown"],
    ["serving", undefined, "unknown"],
    ["leaving", undefined, "whole"],
    ["leaving", "gone", "whole"],
    ["leaving", "unknown", "whole"],
    ["restarted", "running", "cut"],
    ["restarted", "gone", "cut"],
    ["restarted", undefined, "cut"],
];

for (const [standing, process, end] of CASES) {
    test(`the end of an unframed response of a ${standing} target whose process is ${process ?? "not checked"}: ${end}`, t => {
        t.is(judgeResponseEnd({ standing, process }), end);
    });
}
