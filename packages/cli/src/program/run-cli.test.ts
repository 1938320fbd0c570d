import test from "ava";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { createDocumentText, runTool, withFile } from "../fixtures/cli-run.js";
import { createOkResponse, createRefusal, startFakeOperatorPort } from "../fixtures/fake-operator-port.js";

const createInstanceInfo = (instance: string, configRevision: number) => ({
    instance,
    availabilityZone: "zone-a",
    state: "live",
    configRevision,
});

test("check reports each fault of a document with file and line", async t => {
    await withFile(createDocumentText(), async file => {
        t.like(await runTool(["check", file]), { exitCode: 0, out: [`${file} is valid`] });
        t.is((await runTool(["check", file, "--settings"])).exitCode, 2);
    });
    await withFile("{\n\"teams\": 1\n}", async file => {
        const run = await runTool(["check", file]);
        t.is(run.exitCode, 2);
        t.true(run.err.includes(`  ${file}:2:1 $.teams: must be array`));
    });
});

test("diff prints the changes, or the faults that the fleet reports", async t => {
    const url = "POST /operator/v1/check";
    const changed = await startFakeOperatorPort(t, {
        [url]: createOkResponse({ baseRevision: 2, faults: [], diff: ["+ teams/a"] }),
    });
    const same = await startFakeOperatorPort(t, { [url]: createOkResponse({ baseRevision: 2, faults: [], diff: [] }) });
    const refused = await startFakeOperatorPort(t, {
        [url]: createOkResponse({ baseRevision: 2, faults: ["1:1 $: no"], diff: [] }),
    });
    await withFile(createDocumentText(), async file => {
        t.deepEqual((await runTool(["diff", file, "--operator", changed.url])).out, ["+ teams/a"]);
        t.deepEqual((await runTool(["diff", file, "--operator", same.url])).out, ["no changes from revision 2"]);
        const run = await runTool(["diff", file, "--operator", refused.url]);
        t.is(run.exitCode, 1);
        t.is(run.err[1], `  ${file}:1:1 $: no`);
    });
});

test("show prints only the text, or the whole response with --json", async t => {
    const document = { revision: 5, text: createDocumentText() };
    const port = await startFakeOperatorPort(t, { "GET /operator/v1/document?revision=5": createOkResponse(document) });
    const args = ["show", "--revision", "5", "--operator", port.url];
    t.deepEqual((await runTool(args)).out, [createDocumentText()]);
    t.deepEqual(JSON.parse((await runTool([...args, "--json"])).out.join("\n")), document);
    t.is((await runTool(["show", "--operator", port.url])).exitCode, 1);
});

test("history lists revisions as a table", async t => {
    const history = [{ revision: 12, acceptedAtMs: 0, author: "asha", editId: "edit-1" }];
    const port = await startFakeOperatorPort(t, { "GET /operator/v1/history?limit=1": createOkResponse({ history }) });
    const run = await runTool(["history", "--limit", "1", "--operator", port.url]);
    t.deepEqual(run.out, [
        "REVISION  ACCEPTED                  AUTHOR  EDIT ID",
        "12        1970-01-01T00:00:00.000Z  asha    edit-1",
    ]);
});

test("status shows revision and lag of all instances and marks instances without a status as unreachable", async t => {
    const status = {
        self: createInstanceInfo("entry-1", 7),
        peers: [createInstanceInfo("entry-2", 5)],
        ready: true,
        stale: false,
    };
    const port = await startFakeOperatorPort(t, { "GET /operator/v1/status": createOkResponse(status) });
    const other = await startFakeOperatorPort(t, { "GET /operator/v1/status": createRefusal("unauthorized") });
    const run = await runTool(["status", "--operator", port.url, "--operator", other.url]);
    t.is(run.exitCode, 1);
    t.deepEqual(run.out.map(line => line.split(/  +/)), [
        ["INSTANCE", "ZONE", "STATE", "REVISION", "LAG", "TOLD BY"],
        ["entry-1", "zone-a", "live", "7", "0", "itself"],
        ["entry-2", "zone-a", "live", "5", "2", "entry-1"],
        [other.url, "unreachable", "0", "0", "unauthorized"],
    ]);
});

test("dump prints the state of the instance at an address", async t => {
    const port = await startFakeOperatorPort(t, { "GET /operator/v1/dump": createOkResponse({ open: 3 }) });
    const run = await runTool(["dump", new URL(port.url).host]);
    t.deepEqual(JSON.parse(run.out.join("\n")), { open: 3 });
});

test("hash-key hashes the key without its trailing newline and refuses an empty key", async t => {
    const run = await runTool(["hash-key"], "abc\n");
    t.deepEqual(run.out, ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]);
    t.is((await runTool(["hash-key"], "\n")).exitCode, 2);
});

test("bad usage exits with 2 before any request is sent", async t => {
    for (const args of [["status"], ["dump", "::"], ["show", "--revision", "x", "--operator", "127.0.0.1:1"]]) {
        t.is((await runTool(args)).exitCode, 2, args.join(" "));
    }
    const main = fileURLToPath(new URL("../main.js", import.meta.url));
    for (const args of [[], ["unknown"], ["check"], ["check", "file", "--bad"]]) {
        t.is(spawnSync(process.execPath, [main, ...args]).status, 2, args.join(" "));
    }
    t.is(spawnSync(process.execPath, [main, "hash-key"], { input: "abc" }).status, 0);
});
