import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import type { Log } from "@ospreyreel/telemetry";
import test from "ava";
import { logCause } from "./log-cause.js";

const createRecorder = (): { readonly lines: unknown[]; readonly log: Log; } => {
    const lines: unknown[] = [];
    const add: Log["warn"] = context => void lines.push(context);
    return { lines, log: { info: add, warn: add } };
};

test("causes are logged with the request id", t => {
    const { lines, log } = createRecorder();
    const cause = new Error("connect ECONNREFUSED 127.0.0.1:9");
    logCause(new OspreyError("no target served the request", { result: "noTarget", cause }), "r1", log);
    logCause(toOspreyError(new TypeError("x is not a function")), "r2", log);
    t.like(lines, [
        { requestId: "r1", result: "no_target" },
        { requestId: "r2", result: "internal", message: "x is not a function" },
    ]);
    t.regex(JSON.stringify(lines[0]), /127\.0\.0\.1:9/);
});

test("an error without details beyond the caller's message is not logged", t => {
    const { lines, log } = createRecorder();
    logCause(new OspreyError("the queue is full", { result: "overloaded" }), "r1", log);
    t.deepEqual(lines, []);
});
