import { hasResult } from "@ospreyreel/errors";
import { TargetClient } from "@ospreyreel/targets";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptResult } from "./attempt.js";
import { EngineAttempt } from "./engine-attempt.js";
import { createAttempt, type CreatedAttempt } from "./fixtures/create-attempt.js";
import { createContext } from "./fixtures/create-context.js";
import { FakeLedger } from "./fixtures/fake-ledger.js";
import { startTarget } from "./fixtures/start-target.js";

const MAX_ANSWER_BYTES = 1_024;
const PROMPT_TOKENS = 2;

type Respond = (res: ServerResponse) => void;

/** The engine's responses to each post, and the state of its stream record at each lookup; the last state repeats. */
interface Script {
    readonly posts: readonly Respond[];
    readonly records: readonly (string | undefined)[];
}

const disconnect: Respond = res => res.destroy();
const reject: Respond = res => res.writeHead(503).end("{}");
const respond = (bytes: number): Respond => res => res.end("x".repeat(bytes));

const createEngine = (script: Script): (req: IncomingMessage, res: ServerResponse) => void => {
    const posts = [...script.posts];
    const records = [...script.records];
    return (req, res) => {
        if (req.method === "POST") {
            (posts.shift() ?? disconnect)(res);
            return;
        }
        const state = records.length > 1 ? records.shift() : records[0];
        const record = { id: "stream-1", state, promptTokens: PROMPT_TOKENS, completionTokens: 3 };
        res.writeHead(state === undefined ? 404 : 200).end(JSON.stringify(record));
    };
};

interface RunResult extends CreatedAttempt {
    readonly result: AttemptResult;
    readonly ledger: FakeLedger;
    readonly worstCaseTokens: number;
}

const run = async (t: ExecutionContext, script: Script, storesBills = true): Promise<RunResult> => {
    const url = await startTarget(t, createEngine(script));
    const ledger = new FakeLedger();
    ledger.storesBills = storesBills;
    const counters = new Counters();
    const client = new TargetClient({ counters, maxAnswerBytes: MAX_ANSWER_BYTES });
    t.teardown(() => client.close());
    const ctx = createContext();
    const created = await createAttempt(ledger, ctx, url);
    const engines = new EngineAttempt({ client, ledger: ledger.asLedger(), counters });
    const result = await engines.run(created.attempt);
    return { ...created, ledger, worstCaseTokens: ctx.worstCaseTokens, result };
};

test("a response that is too large is billed by the engine's record and fails with answerTooLarge", async t => {
    const { attempt, released, ledger, result } = await run(t, {
        posts: [respond(MAX_ANSWER_BYTES + 1)],
        records: ["done"],
    });
    t.is(result.kind, "done");
    t.true(hasResult(await t.throwsAsync(attempt.answer.readHead()), "answerTooLarge"));
    t.like(ledger.finishes, [{ tokens: 5, bill: { promptTokens: PROMPT_TOKENS, completionTokens: 3 } }]);
    t.deepEqual(released, ["served"]);
});

test("a response that is too large is billed its worst case where no record shows that the run ended", async t => {
    for (const state of [undefined, "running"]) {
        const { ledger, worstCaseTokens } = await run(t, { posts: [respond(MAX_ANSWER_BYTES + 1)], records: [state] });
        t.like(ledger.finishes, [{ tokens: worstCaseTokens, bill: { completionTokens: worstCaseTokens } }], state);
    }
});

test("a rejected repeat of a post does not prove that the first post was not run", async t => {
    const { ledger, worstCaseTokens, result } = await run(t, {
        posts: [disconnect, reject],
        records: ["running", undefined],
    });
    t.is(result.kind, "unknown");
    t.like(ledger.finishes, [{ tokens: worstCaseTokens, bill: undefined }]);
});

test("a run that the engine has no record of or has cancelled is not posted again", async t => {
    const forgotten = await run(t, { posts: [disconnect, respond(10)], records: [undefined] });
    t.is(forgotten.result.kind, "unknown");
    t.like(forgotten.ledger.finishes, [{ tokens: forgotten.worstCaseTokens, bill: undefined }]);
    const cancelled = await run(t, { posts: [disconnect, respond(10)], records: ["cancelled"] });
    t.is(cancelled.result.kind, "unknown");
    t.like(cancelled.ledger.finishes, [{ tokens: 5, bill: undefined }]);
});

test("a run that the engine still has a record of is posted again and billed once", async t => {
    const { attempt, ledger, result } = await run(t, {
        posts: [disconnect, respond(10)],
        records: ["running", "done"],
    });
    t.is(result.kind, "done");
    t.is((await attempt.answer.readHead()).status, 200);
    t.like(ledger.finishes, [{ tokens: 5, bill: { promptTokens: PROMPT_TOKENS, completionTokens: 3 } }]);
});

test("a rejected first post without a record was not run", async t => {
    const { ledger, result } = await run(t, { posts: [reject], records: [undefined] });
    t.is(result.kind, "not_run");
    t.like(ledger.finishes, [{ tokens: 0, bill: undefined }]);
});

test("a response whose bill is not stored is not started: it may have run, and its caller retries", async t => {
    const { attempt, result } = await run(t, { posts: [respond(10)], records: ["done"] }, false);
    t.like(result, { kind: "unknown", started: false });
    attempt.answer.fail(new Error("nothing was begun"));
    await t.throwsAsync(attempt.answer.readHead(), { message: /nothing was begun/ });
});
