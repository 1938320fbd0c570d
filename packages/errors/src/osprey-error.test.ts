import test from "ava";
import { hasResult, OspreyError, ResultCodes, toOspreyError } from "./index.js";

test("every result code has a unique number and a unique name", t => {
    const codes = Object.values(ResultCodes);
    t.is(new Set(codes.map(result => result.code)).size, codes.length);
    t.is(new Set(codes.map(result => result.name)).size, codes.length);
});

test("an error carries its result code, cause and Retry-After", t => {
    const cause = new Error("socket closed");
    const err = new OspreyError("no endpoint answered", { result: "kvUnavailable", cause, retryAfterS: 7 });
    t.true(hasResult(err, "kvUnavailable"));
    t.false(hasResult(err, "kvOutcomeUnknown"));
    t.is(err.retryAfterS, 7);
    // The library merges a cause into the error, so that one message contains both.
    t.regex(err.message, /socket closed/);
    t.regex(err.message, /no endpoint answered/);
    t.is(err.publicMessage, "no endpoint answered");
});

test("an unknown error becomes an internal one whose outcome is unknown", t => {
    const err = toOspreyError(new TypeError("x is not a function"));
    t.is(err.result, ResultCodes.internal);
    t.is(err.result.outcome, "unknown");
    t.is(err.message, "x is not a function");
    t.is(err.publicMessage, ResultCodes.internal.meaning);
});
