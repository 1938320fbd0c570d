import test from "ava";
import { EditSession } from "./edit-session.js";
import { OperatorCalls } from "./operator-calls.js";

type FakeResponse = readonly [status: number, body: object] | Error;

interface SentRequest {
    readonly method: string;
    readonly url: string;
    readonly authorization: string;
    readonly body: Readonly<Record<string, unknown>>;
}

const createSession = (...responses: readonly FakeResponse[]) => {
    const remaining = [...responses];
    const sent: SentRequest[] = [];
    const calls = new OperatorCalls("", "token", (url, init) => {
        const { authorization = "" } = init.headers as Record<string, string>;
        const body = JSON.parse((init.body ?? "{}") as string) as SentRequest["body"];
        sent.push({ method: init.method ?? "", url, authorization, body });
        const response = remaining.shift() ?? new Error("no response is left");
        return response instanceof Error
            ? Promise.reject(response)
            : Promise.resolve(new Response(JSON.stringify(response[1]), { status: response[0] }));
    });
    let ids = 0;
    const session = new EditSession({
        calls,
        emptyDocument: { teams: [] },
        createEditId: () => {
            ids += 1;
            return `edit-${ids}`;
        },
    });
    return { session, sent };
};

const DOCUMENT: FakeResponse = [200, { revision: 4, author: "asha", text: "{ \"teams\": [] } // note" }];
const CLEAN: FakeResponse = [200, { faults: [], diff: [], baseRevision: 4 }];

const refuse = (status: number, name: string): FakeResponse => [status, { error: { code: 1, name, message: name } }];

test("without an active document the base is revision 0", async t => {
    const { session, sent } = createSession(refuse(404, "not_found"));
    t.is((await session.load()).kind, "ok");
    t.like(session.base, { revision: 0, hasComments: false });
    t.is(sent[0]?.authorization, "Bearer token");
});

test("only a text that was checked unchanged can be applied", async t => {
    const { session, sent } = createSession(DOCUMENT, CLEAN, [200, { revision: 5, alreadyApplied: false }]);
    await session.load();
    t.like(session.base, { revision: 4, hasComments: true });
    await t.throwsAsync(session.apply("asha"));
    await session.check();
    t.true(session.isApplicable);
    session.set(["teams"], [{ name: "a" }]);
    t.false(session.isApplicable);
    session.set(["teams"], []);
    t.deepEqual(await session.apply("asha"), { kind: "accepted", revision: 5, alreadyApplied: false });
    t.like(sent[2]?.body, { baseRevision: 4, editId: "edit-1", author: "asha", repeat: false });
    t.like(session.base, { revision: 5, hasComments: false });
});

test("an edit cannot be applied after a check with faults or against another revision", async t => {
    const faulty: FakeResponse = [200, { faults: ["1:1 $: odd"], diff: [], baseRevision: 4 }];
    const { session } = createSession(DOCUMENT, faulty, [200, { faults: [], diff: [], baseRevision: 5 }]);
    await session.load();
    await session.check();
    t.false(session.isApplicable);
    await session.check();
    t.false(session.isApplicable);
});

test("an edit of unknown outcome is repeated under its id until a response settles it", async t => {
    const { session, sent } = createSession(
        DOCUMENT,
        CLEAN,
        new Error("connection reset"),
        refuse(503, "document_unavailable"),
        [200, { revision: 5, alreadyApplied: true }],
    );
    await session.load();
    await session.check();
    t.is((await session.apply("asha")).kind, "unknown");
    t.throws(() => session.set(["teams"], [1]));
    t.is((await session.repeat()).kind, "unknown");
    t.is((await session.repeat()).kind, "accepted");
    t.deepEqual(sent.slice(2).map(({ body }) => [body.editId, body.repeat]), [
        ["edit-1", false],
        ["edit-1", true],
        ["edit-1", true],
    ]);
    t.false(session.isOutcomeUnknown);
});

test("an edit that had no effect keeps its id, and a changed edit gets a new one", async t => {
    const unavailable = refuse(503, "document_unavailable");
    const { session, sent } = createSession(DOCUMENT, CLEAN, unavailable, unavailable, CLEAN, unavailable);
    await session.load();
    await session.check();
    t.is((await session.apply("asha")).kind, "refused");
    await session.apply("asha");
    session.set(["teams"], [1]);
    await session.check();
    await session.apply("asha");
    t.deepEqual(sent.filter(req => req.url.endsWith("document") && req.method === "POST").map(req => req.body.editId), [
        "edit-1",
        "edit-1",
        "edit-2",
    ]);
});

test("after a conflict, reapply merges the edit into the newer document, which must be checked again", async t => {
    const newer: FakeResponse = [200, { revision: 5, author: "ravi", text: "{\"teams\":[{\"name\":\"theirs\"}]}" }];
    const { session } = createSession(DOCUMENT, CLEAN, refuse(409, "document_conflict"), newer);
    await session.load();
    session.set(["teams"], [{ name: "mine" }]);
    await session.check();
    t.is((await session.apply("asha")).kind, "conflict");
    t.false(session.isApplicable);
    t.is((await session.reapply()).kind, "ok");
    t.is(session.base.revision, 5);
    t.deepEqual(session.document, { teams: [{ name: "theirs" }, { name: "mine" }] });
    t.false(session.isApplicable);
});
