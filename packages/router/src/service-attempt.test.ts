import { hasResult } from "@ospreyreel/errors";
import { TargetClient } from "@ospreyreel/targets";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import type { AttemptResult } from "./attempt.js";
import { createAttempt, type CreatedAttempt } from "./fixtures/create-attempt.js";
import { createServiceContext } from "./fixtures/create-context.js";
import { FakeLedger } from "./fixtures/fake-ledger.js";
import { startTarget } from "./fixtures/start-target.js";
import { ServiceAttempt } from "./service-attempt.js";

const MAX_ANSWER_BYTES = 1_024;

interface RunResult extends CreatedAttempt {
    readonly result: AttemptResult;
    readonly ledger: FakeLedger;
    readonly counters: Counters;
}

const run = async (t: ExecutionContext, url: string, storesBills = true): Promise<RunResult> => {
    const ledger = new FakeLedger();
    ledger.storesBills = storesBills;
    const counters = new Counters();
    const client = new TargetClient({ counters, maxAnswerBytes: MAX_ANSWER_BYTES });
    t.teardown(() => client.close());
    const created = await createAttempt(ledger, createServiceContext(), url);
    const services = new ServiceAttempt({ client, ledger: ledger.asLedger(), counters });
    return { ...created, ledger, counters, result: await services.run(created.attempt) };
};

test("a response within the limit is billed and returned", async t => {
    const url = await startTarget(t, (_, res) => void res.end("x".repeat(MAX_ANSWER_BYTES)));
    const { attempt, released, ledger, result } = await run(t, url);
    t.is(result.kind, "done");
    t.is((await attempt.answer.readHead()).headers["content-length"], String(MAX_ANSWER_BYTES));
    t.like(ledger.finishes, [{ tokens: 3, bill: { completionTokens: 3 } }]);
    t.deepEqual(released, ["served"]);
});

test("a call whose response is too large has run: it is billed and fails with answerTooLarge", async t => {
    const url = await startTarget(t, (_, res) => void res.end("x".repeat(MAX_ANSWER_BYTES + 1)));
    const { attempt, released, ledger, counters, result } = await run(t, url);
    t.is(result.kind, "done");
    const err = await t.throwsAsync(attempt.answer.readHead());
    t.true(hasResult(err, "answerTooLarge"));
    t.like(ledger.finishes, [{ tokens: 3, bill: { completionTokens: 3 } }]);
    t.deepEqual(released, ["served"]);
    t.is(counters.get("unproved_tokens"), 0);
});

test("a call whose connection closed may have run and is charged", async t => {
    const url = await startTarget(t, (_, res) => void res.destroy());
    const { ledger, counters, result } = await run(t, url);
    t.is(result.kind, "unknown");
    t.like(ledger.finishes, [{ tokens: 3, bill: undefined }]);
    t.is(counters.get("unproved_tokens"), 3);
});

test("a call that was never sent is charged nothing", async t => {
    const { ledger, result } = await run(t, "http://127.0.0.1:1");
    t.is(result.kind, "not_run");
    t.like(ledger.finishes, [{ tokens: 0, bill: undefined }]);
});

test("a response whose bill is not stored is not returned: it may have run, and its caller retries", async t => {
    const url = await startTarget(t, (_, res) => void res.end("x"));
    const { attempt, result } = await run(t, url, false);
    t.is(result.kind, "unknown");
    attempt.answer.fail(new Error("nothing was begun"));
    await t.throwsAsync(attempt.answer.readHead(), { message: /nothing was begun/ });
});
