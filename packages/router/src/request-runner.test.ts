import { hasResult, type ResultName, toOspreyError } from "@ospreyreel/errors";
import test, { type ExecutionContext } from "ava";
import { createContext } from "./fixtures/create-context.js";
import { RunnerFixture } from "./fixtures/runner-fixture.js";
import type { RequestContext } from "./request-context.js";

const once = { idempotent: false, keyed: true, requestKey: "visit-1" } as const;

const checkRefused = async (
    t: ExecutionContext,
    fixture: RunnerFixture,
    ctx: RequestContext,
    result: ResultName,
): Promise<void> => {
    const err = toOspreyError(await t.throwsAsync(fixture.run(ctx)));
    t.true(hasResult(err, result), `${err.result.name}: ${err.message}`);
    t.is(fixture.ledger.reserved, 0);
    t.deepEqual([...fixture.held], []);
};

test("a request that was not run is sent to another target", async t => {
    const fixture = new RunnerFixture(["not_run", "not_run", "done"]);
    await fixture.run(createContext());
    t.deepEqual(fixture.dispatched, ["target-1", "target-2", "target-3"]);
    t.is(fixture.counters.get("target_retries"), 2);
});

test("a request that no target runs in three attempts fails as not run", async t => {
    const fixture = new RunnerFixture(["not_run", "not_run", "not_run", "done"]);
    await checkRefused(t, fixture, createContext(), "noTarget");
    t.is(fixture.dispatched.length, 3);
});

test("an idempotent request that may have run is sent to another target", async t => {
    const fixture = new RunnerFixture(["unknown", "done"]);
    await fixture.run(createContext({ idempotent: true }));
    t.is(fixture.dispatched.length, 2);
});

test("a non-idempotent request that may have run is not retried", async t => {
    for (const keyed of [true, false]) {
        const fixture = new RunnerFixture(["unknown", "done"]);
        await checkRefused(t, fixture, createContext({ idempotent: false, keyed }), "outcomeUnknown");
        t.is(fixture.dispatched.length, 1);
    }
});

test("a request whose response was partly sent to the caller is not retried", async t => {
    const fixture = new RunnerFixture(["started", "done"]);
    await checkRefused(t, fixture, createContext({ idempotent: true }), "targetFailed");
    t.is(fixture.dispatched.length, 1);
});

test("without a retry left a request fails with the result of its last attempt", async t => {
    const cases = [["not_run", "noTarget"], ["unknown", "targetFailed"]] as const;
    for (const [scripted, result] of cases) {
        const fixture = new RunnerFixture([scripted, "done"]);
        fixture.retries = 0;
        await checkRefused(t, fixture, createContext({ idempotent: true }), result);
        t.is(fixture.dispatched.length, 1);
    }
});

test("a ledger error is reported as not run only where nothing was dispatched before", async t => {
    const refused = new RunnerFixture([]);
    refused.ledger.failing.set("reserve", "budgetExhausted");
    await checkRefused(t, refused, createContext(), "budgetExhausted");
    const late = new RunnerFixture(["unknown"]);
    const running = late.run(createContext({ idempotent: true }));
    late.ledger.failing.set("reserve", "budgetExhausted");
    t.true(hasResult(await t.throwsAsync(running), "targetFailed"));
});

test("nothing is dispatched without the copy holder's acknowledgement, and a retry may run", async t => {
    const fixture = new RunnerFixture(["done"]);
    fixture.ledger.failing.set("acknowledge", "copyUnavailable");
    await checkRefused(t, fixture, createContext(once), "copyUnavailable");
    t.deepEqual(fixture.dispatched, []);
    fixture.ledger.failing.clear();
    await fixture.run(createContext(once));
    t.is(fixture.dispatched.length, 1);
});

test("a claim under which nothing was dispatched permits a later attempt", async t => {
    const fixture = new RunnerFixture(["not_run", "done"]);
    await fixture.run(createContext(once));
    t.is(fixture.dispatched.length, 2);
});

test("a claim of another process that may have dispatched prevents the request", async t => {
    const fixture = new RunnerFixture(["done"]);
    fixture.ledger.claims.set(once.requestKey, { intentId: "of another process" });
    await checkRefused(t, fixture, createContext(once), "outcomeUnknown");
    t.deepEqual(fixture.dispatched, []);
});

test("a claim reused by an attempt cannot be reused again once that attempt may have run", async t => {
    const fixture = new RunnerFixture(["not_run", "unknown", "done"]);
    await checkRefused(t, fixture, createContext(once), "outcomeUnknown");
    t.is(fixture.dispatched.length, 2);
    await checkRefused(t, fixture, createContext(once), "outcomeUnknown");
    t.is(fixture.dispatched.length, 2);
});

test("a claim can be reused again where the attempt that reused it was not run either", async t => {
    const fixture = new RunnerFixture(["not_run", "not_run", "not_run", "done"]);
    await checkRefused(t, fixture, createContext(once), "noTarget");
    await fixture.run(createContext(once));
    t.is(fixture.dispatched.length, 4);
});

test("a bill under the key prevents the request", async t => {
    const fixture = new RunnerFixture(["done"]);
    fixture.ledger.billed.add(once.requestKey);
    await checkRefused(t, fixture, createContext(once), "alreadyCompleted");
    t.deepEqual(fixture.dispatched, []);
});
