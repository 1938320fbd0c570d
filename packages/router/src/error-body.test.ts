import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import test from "ava";
import { getErrorBody, getErrorHeaders } from "./error-body.js";

test("an error response has the code, name, outcome, request id and retry delay", t => {
    const err = new OspreyError("full", { result: "overloaded", retryAfterS: 2.4 });
    t.deepEqual(getErrorBody(err, "r1").error, {
        message: "full",
        type: "overloaded",
        code: 2201,
        outcome: "not_run",
        request_id: "r1",
        retry_after_s: 2.4,
        details: undefined,
    });
    const headers = getErrorHeaders(err, "r1");
    t.is(headers["retry-after"], "3");
    t.is(headers["x-should-retry"], "true");
});

test("an error of a request that may have run forbids client libraries to retry", t => {
    const headers = getErrorHeaders(new OspreyError("cut", { result: "outcomeUnknown" }), "r1");
    t.is(headers["x-should-retry"], "false");
    t.is(headers["x-ospreyreel-outcome"], "unknown");
    t.false("retry-after" in headers);
});

test("an error response does not contain the message of a cause", t => {
    const cause = new OspreyError("engine-1 was not reached", {
        result: "noTarget",
        cause: new Error("connect ECONNREFUSED 127.0.0.1:9"),
    });
    const err = new OspreyError("no target served the request", { result: "noTarget", cause });
    t.is(getErrorBody(err, "r1").error.message, "no target served the request");
    const internal = getErrorBody(toOspreyError(new TypeError("connect ECONNREFUSED 127.0.0.1:9")), "r1");
    t.is(internal.error.message, "A fault in this process; see its log.");
});
