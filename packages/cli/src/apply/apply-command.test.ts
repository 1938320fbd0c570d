import test from "ava";
import { createDocumentText, runTool, withFile } from "../fixtures/cli-run.js";
import { createOkResponse, createRefusal, startFakeOperatorPort } from "../fixtures/fake-operator-port.js";

const APPLY = "POST /operator/v1/document";
const SHOW = "GET /operator/v1/document";

test("apply replaces the active revision and prints the new one", async t => {
    const applied = createOkResponse({ revision: 8, alreadyApplied: false });
    const port = await startFakeOperatorPort(t, { [SHOW]: createOkResponse({ revision: 7 }), [APPLY]: applied });
    await withFile(createDocumentText(), async file => {
        const run = await runTool(["apply", file, "--operator", port.url]);
        t.like(run, { exitCode: 0, out: ["revision 8"], err: [] });
    });
    t.is(port.received[1]?.authorization, "Bearer operator-token");
    t.like(port.received[1]?.body, { text: createDocumentText(), baseRevision: 7, author: "asha" });
});

test("the first document is based on revision 0, and a repeat is reported as already applied", async t => {
    const port = await startFakeOperatorPort(t, { [APPLY]: createOkResponse({ revision: 1, alreadyApplied: true }) });
    await withFile(createDocumentText(), async file => {
        const run = await runTool(["apply", file, "--operator", port.url, "--edit-id", "0042", "--author", "benu"]);
        t.deepEqual(run.out, ["revision 1 (already applied)"]);
    });
    t.like(port.received[1]?.body, { baseRevision: 0, editId: "0042", author: "benu" });
});

test("a conflict exits with 1 and shows what the other edit changed", async t => {
    const port = await startFakeOperatorPort(t, { [APPLY]: createRefusal("documentConflict", ["+ teams/beta"]) });
    await withFile(createDocumentText(), async file => {
        const run = await runTool(["apply", file, "--operator", port.url, "--base", "3"]);
        t.is(run.exitCode, 1);
        t.deepEqual(run.err, ["1003 document_conflict: document_conflict for a test", "  + teams/beta"]);
    });
});

test("an invalid file exits with 2 and is not sent", async t => {
    const port = await startFakeOperatorPort(t, {});
    await withFile("{", async file => {
        const run = await runTool(["apply", file, "--operator", port.url]);
        t.is(run.exitCode, 2);
        t.true(run.err.some(line => line.includes(`${file}:1:1 $.teams: missing`)));
    });
    t.deepEqual(port.received, []);
});

for (
    const [description, response] of [
        ["is lost", "hang up"],
        ["is unknown to the instance", createRefusal("documentOutcomeUnknown")],
        ["is an internal error", createRefusal("internal")],
        ["has an unknown shape", { status: 500, body: "?" }],
    ] as const
) {
    test(`an outcome that ${description} exits with 3 and prints how to repeat the edit`, async t => {
        const port = await startFakeOperatorPort(t, { [APPLY]: response });
        await withFile(createDocumentText(), async file => {
            const args = ["apply", file, "--operator", port.url, "--base", "4", "--edit-id", "edit-1"];
            const run = await runTool(args);
            t.is(run.exitCode, 3);
            t.is(run.err[0], "repeat with: --base 4 --edit-id edit-1");
        });
    });
}

test("apply exits with 1 if the instance is unreachable, and with 3 if the operator chose the edit id", async t => {
    const port = await startFakeOperatorPort(t, {});
    await port.close();
    await withFile(createDocumentText(), async file => {
        const run = await runTool(["apply", file, "--operator", port.url, "--base", "4"]);
        t.is(run.exitCode, 1);
        t.regex(run.err[0] ?? "", /document_unavailable/);
        // An earlier run with this id may have been applied.
        const repeat = await runTool(["apply", file, "--operator", port.url, "--base", "4", "--edit-id", "edit-1"]);
        t.is(repeat.exitCode, 3);
    });
});
