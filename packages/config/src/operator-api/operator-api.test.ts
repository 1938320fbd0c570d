import test from "ava";
import { createText, createToppedUpText } from "../fixtures/documents.js";
import { createEdit, createInstance, type TestInstance } from "../fixtures/stores.js";
import { createOperatorApi } from "./operator-api.js";
import type { OperatorResponse } from "./operator-messages.js";

const TOKEN = "operator-token";

/** Sends one request with the right token. */
type Send = (method: string, url: string, body?: unknown) => Promise<OperatorResponse>;

const createApi = (): { readonly send: Send; readonly instance: TestInstance; } => {
    const instance = createInstance();
    const api = createOperatorApi({
        store: instance.store,
        hub: instance.hub,
        token: TOKEN,
        staleAfterS: 60,
        getDump: () => ({ counters: instance.counters.snapshot() }),
    });
    const send: Send = (method, url, body) =>
        api({ method, url, authorization: `Bearer ${TOKEN}`, body: body === undefined ? "" : JSON.stringify(body) });
    return { send, instance };
};

test("a wrong or missing token is rejected", async t => {
    const { instance } = createApi();
    const api = createOperatorApi({ ...instance, token: TOKEN, staleAfterS: 0, getDump: () => "dump" });
    for (const authorization of [undefined, "", "Bearer wrong", `Basic ${TOKEN}`, TOKEN]) {
        const { status, body } = await api({ method: "GET", url: "/operator/v1/dump", authorization, body: "" });
        t.is(status, 401);
        t.notRegex(JSON.stringify(body), new RegExp(TOKEN));
    }
});

test("a document can be checked, applied, read and listed in the history", async t => {
    const { send } = createApi();
    t.is((await send("GET", "/operator/v1/document")).status, 404);
    const review = await send("POST", "/operator/v1/check", { text: createText() });
    t.like(review.body, { faults: [], baseRevision: 0 });
    const applied = await send("POST", "/operator/v1/document", createEdit());
    t.deepEqual(applied, { status: 200, body: { revision: 1, alreadyApplied: false } });
    t.like((await send("GET", "/operator/v1/document?revision=1")).body, { revision: 1, text: createText() });
    const { history } = (await send("GET", "/operator/v1/history?limit=5")).body as { history: readonly object[]; };
    t.deepEqual(history.map(entry => Object.keys(entry)), [["revision", "editId", "author", "acceptedAtMs"]]);
});

test("an error response has code, name, message and every detail", async t => {
    const { send } = createApi();
    await send("POST", "/operator/v1/document", createEdit({ text: createToppedUpText(2) }));
    const { status, body } = await send(
        "POST",
        "/operator/v1/document",
        createEdit({ editId: "edit-2", baseRevision: 1 }),
    );
    t.is(status, 422);
    const { error } = body as { error: { code: number; name: string; details: readonly string[]; }; };
    t.like(error, { code: 1002, name: "invalid_document" });
    t.is(error.details.length, 2);
});

test("malformed requests and unknown routes are rejected", async t => {
    const { send } = createApi();
    t.is((await send("POST", "/operator/v1/document", { text: 1 })).status, 400);
    t.is((await send("POST", "/operator/v1/check")).status, 400);
    t.is((await send("GET", "/operator/v1/document?revision=x")).status, 400);
    t.is((await send("DELETE", "/operator/v1/document")).status, 404);
});

test("status, schema and dump are returned before the first document", async t => {
    const { send, instance } = createApi();
    t.like((await send("GET", "/operator/v1/status")).body, { ready: false, stale: false, peers: [] });
    t.like((await send("GET", "/operator/v1/schema")).body, { type: "object", title: "Operators' document" });
    t.is((await send("GET", "/operator/v1/dump")).status, 200);
    t.is(instance.hub.self().configRevision, 0);
});
