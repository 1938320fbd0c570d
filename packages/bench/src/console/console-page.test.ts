import type { OperatorsDocument, Target } from "@ospreyreel/config";
import {
    createInitialValue,
    EditSession,
    type Fetch,
    type FormSchema,
    OperatorCalls,
    readConsoleFiles,
} from "@ospreyreel/console";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { OPERATOR_TOKEN } from "../rig/instance-settings.js";
import { toUrl } from "../rig/platform.js";
import { startFleet } from "../rig/start-fleet.js";

const createDocument = (targets: readonly Target[]): OperatorsDocument => ({
    teams: [],
    budgets: [{ name: "alpha", topUps: [{ id: "first", tokens: 100 }] }],
    targets,
    offerings: [{ name: "drafts", kind: "model", model: "reader", maxTokens: 64, targets: ["engine-1"] }],
    rules: [{ name: "drafts", teams: ["*"], asks: "reader", routes: [{ offering: "drafts", share: 1 }] }],
});

/** Starts one instance; returns the base URL of its operator port. */
const startInstance = async (t: ExecutionContext): Promise<string> => {
    const fleet = await startFleet({
        cleanup: t,
        instances: 1,
        createDocument,
        targets: [{ name: "engine-1", kind: "engine", availabilityZone: "zone-a" }],
        settings: { fleet: { addressTtlS: 1 } },
    });
    return toUrl(fleet.instance(0).process.ready.operator);
};

const openSession = async (t: ExecutionContext, url: string, send: Fetch = fetch): Promise<EditSession> => {
    const calls = new OperatorCalls(url, OPERATOR_TOKEN, send);
    const schema = await calls.getSchema();
    if (schema.kind !== "ok") {
        throw new Error("the instance served no schema");
    }
    const session = new EditSession({ calls, emptyDocument: createInitialValue(schema.body as FormSchema) });
    t.is((await session.load()).kind, "ok");
    return session;
};

const addTopUp = (session: EditSession, id: string, tokens: number): void => {
    const { budgets } = session.document as OperatorsDocument;
    session.set(["budgets", 0, "topUps"], [...budgets[0]?.topUps ?? [], { id, tokens }]);
};

const getTopUps = (session: EditSession): readonly string[] =>
    (session.document as OperatorsDocument).budgets[0]?.topUps.map(topUp => topUp.id) ?? [];

test("the page is served without a token and nothing else is", async t => {
    const url = await startInstance(t);
    for (const [path, file] of await readConsoleFiles()) {
        const res = await request(`${url}${path}`);
        t.is(res.statusCode, 200, path);
        t.like(res.headers, file.headers, path);
        t.deepEqual(Buffer.from(await res.body.arrayBuffer()), file.body, path);
    }
    const others = [
        "/",
        "/console/",
        "/console/page/../../package.json",
        "/console/%2e%2e/package.json",
        "/console/x.js",
    ];
    for (const path of [...others, "/operator/v1/document"]) {
        const res = await request(`${url}${path}`);
        await res.body.dump();
        t.is(res.statusCode, 401, path);
    }
    const res = await request(`${url}/console`, { method: "POST", body: "{}" });
    await res.body.dump();
    t.is(res.statusCode, 401);
});

test("an edit is checked and applied as the page does it", async t => {
    const session = await openSession(t, await startInstance(t));
    t.is(session.base.revision, 1);
    addTopUp(session, "second", 0);
    const faulty = await session.check();
    t.like(faulty, { kind: "ok", body: { diff: [] } });
    t.regex(faulty.kind === "ok" ? faulty.body.faults.join() : "", /\$\.budgets\[0\]\.topUps\[1\]\.tokens: /);
    await t.throwsAsync(session.apply("asha"));
    session.set(["budgets", 0, "topUps", 1, "tokens"], 50);
    t.like(await session.check(), {
        body: {
            faults: [],
            diff: ["+ budgets/alpha/topUps/second/id: \"second\"", "+ budgets/alpha/topUps/second/tokens: 50"],
        },
    });
    t.deepEqual(await session.apply("asha"), { kind: "accepted", revision: 2, alreadyApplied: false });
    await session.load();
    t.like(session.base, { revision: 2, author: "asha" });
});

test("an edit that lost is put on top of the winner, whose top-up stays", async t => {
    const url = await startInstance(t);
    const [first, second] = await Promise.all([openSession(t, url), openSession(t, url)]);
    addTopUp(first, "of-first", 1);
    addTopUp(second, "of-second", 2);
    await first.check();
    await second.check();
    t.is((await first.apply("asha")).kind, "accepted");
    const conflict = await second.apply("ravi");
    t.is(conflict.kind, "conflict");
    t.regex(conflict.kind === "conflict" ? conflict.refusal.details.join() : "", /topUps\/of-first/);
    t.like(await second.reapply(), { kind: "ok", body: { overlaps: [] } });
    t.deepEqual(getTopUps(second), ["first", "of-first", "of-second"]);
    await second.check();
    t.deepEqual(await second.apply("ravi"), { kind: "accepted", revision: 3, alreadyApplied: false });
});

test("an edit whose answer was lost is repeated under its id and takes effect once", async t => {
    let lost = 0;
    const loseFirstAnswer: Fetch = async (url, init) => {
        const res = await fetch(url, init);
        if (init.method === "POST" && url.endsWith("/document") && lost === 0) {
            lost += 1;
            throw new TypeError("connection reset");
        }
        return res;
    };
    const session = await openSession(t, await startInstance(t), loseFirstAnswer);
    addTopUp(session, "second", 5);
    await session.check();
    t.is((await session.apply("asha")).kind, "unknown");
    t.deepEqual(await session.repeat(), { kind: "accepted", revision: 2, alreadyApplied: true });
    await session.load();
    t.is(session.base.revision, 2);
    t.deepEqual(getTopUps(session), ["first", "second"]);
});
