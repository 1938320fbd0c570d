import { hasResult, type OspreyError } from "@ospreyreel/errors";
import test, { type ExecutionContext } from "ava";
import { createToppedUpText } from "../fixtures/documents.js";
import { createEdit, createInstance, type TestInstance } from "../fixtures/stores.js";
import type { DocumentEdit } from "./document-edit.js";

const expectRejection = async (
    t: ExecutionContext,
    instance: TestInstance,
    edit: DocumentEdit,
): Promise<OspreyError> => {
    const err = await t.throwsAsync(instance.store.apply(edit));
    return err as OspreyError;
};

test("an accepted edit is immediately active and in the history", async t => {
    const { store } = createInstance();
    t.is(store.current(), undefined);
    t.deepEqual(await store.apply(createEdit()), { revision: 1, alreadyApplied: false });
    t.is(store.current()?.revision, 1);
    t.is(store.current()?.document.teams.length, 2);
    t.is((await store.getHistory())[0]?.author, "asha");
});

test("a repeat with the same edit id returns the revision of the first call", async t => {
    const { store } = createInstance();
    await store.apply(createEdit());
    await store.apply(createEdit({ text: createToppedUpText(1), baseRevision: 1, editId: "edit-2" }));
    t.deepEqual(await store.apply(createEdit()), { revision: 1, alreadyApplied: true });
    // A tool that rereads the base before it repeats the edit must not apply it twice.
    t.deepEqual(await store.apply(createEdit({ baseRevision: 2 })), { revision: 1, alreadyApplied: true });
    t.is((await store.getHistory()).length, 2);
});

test("an edit id reused with another text is rejected", async t => {
    const instance = createInstance();
    await instance.store.apply(createEdit());
    const err = await expectRejection(t, instance, createEdit({ text: createToppedUpText(1), baseRevision: 1 }));
    t.true(hasResult(err, "keyReused"));
});

test("a conflict names the accepted edit and its changes", async t => {
    const instance = createInstance();
    await instance.store.apply(createEdit());
    await instance.store.apply(
        createEdit({ text: createToppedUpText(1), baseRevision: 1, editId: "edit-2", author: "benu" }),
    );
    const err = await expectRejection(t, instance, createEdit({ baseRevision: 1, editId: "edit-3" }));
    t.true(hasResult(err, "documentConflict"));
    t.regex(err.message, /revision 2 by benu/);
    t.deepEqual(err.details, [
        "+ budgets/alpha/topUps/extra-1/id: \"extra-1\"",
        "+ budgets/alpha/topUps/extra-1/tokens: 100",
    ]);
});

test("a conflict names the accepted edit even if the base cannot be read", async t => {
    const instance = createInstance();
    await instance.store.apply(createEdit());
    await instance.store.apply(createEdit({ text: createToppedUpText(1), baseRevision: 1, editId: "edit-2" }));
    // The first two reads are the document and the edit's record; the third is the base.
    const fates = ["ok", "ok", "refused"] as const;
    let reads = 0;
    instance.kv.pickOutcome = () => fates[reads++] ?? "ok";
    const err = await expectRejection(t, instance, createEdit({ baseRevision: 1, editId: "edit-3" }));
    t.true(hasResult(err, "documentConflict"));
    t.regex(err.message, /revision 2 by asha/);
    t.deepEqual(err.details, ["revision 1 cannot be read, so the changes since cannot be shown"]);
});

test("an edit that removes a top-up is rejected with its line", async t => {
    const instance = createInstance();
    await instance.store.apply(createEdit({ text: createToppedUpText(1) }));
    const err = await expectRejection(t, instance, createEdit({ baseRevision: 1, editId: "edit-2" }));
    t.true(hasResult(err, "invalidDocument"));
    t.is(err.details.length, 1);
    t.regex(err.details[0] ?? "", /^\d+:\d+ \$\.budgets\[0\]\.topUps: top-up extra-1 .* close the budget/);
});

test("an edit whose write the key-value service rejects is not applied", async t => {
    const instance = createInstance();
    instance.kv.pickOutcome = call => (call === "write" ? "refused" : "ok");
    const err = await expectRejection(t, instance, createEdit());
    t.true(hasResult(err, "documentUnavailable"));
    t.is(instance.store.current(), undefined);
});

for (const fate of ["lostRequest", "lostReply", "late"] as const) {
    test(`an edit whose first write is ${fate} is resolved by retrying the write`, async t => {
        const { store, kv } = createInstance();
        const fates = [fate];
        kv.pickOutcome = call => (call === "write" ? fates.pop() ?? "ok" : "ok");
        t.deepEqual(await store.apply(createEdit()), { revision: 1, alreadyApplied: false });
        t.is((await store.getHistory()).length, 1);
        await store.loadCurrent({ listedInstances: [] });
        t.is(store.current()?.revision, 1);
    });
}

test("an edit whose replies are all lost has an unknown outcome, which a repeat resolves", async t => {
    const instance = createInstance();
    instance.kv.pickOutcome = call => (call === "write" ? "lostReply" : "ok");
    const err = await expectRejection(t, instance, createEdit());
    t.true(hasResult(err, "documentOutcomeUnknown"));
    t.deepEqual(err.details, ["edit id edit-1"]);
    instance.kv.pickOutcome = () => "ok";
    t.deepEqual(await instance.store.apply(createEdit()), { revision: 1, alreadyApplied: true });
});

test("a delayed write that takes effect while its repeat reads the state is not reported as a conflict", async t => {
    const instance = createInstance({ wait: () => Promise.resolve() });
    instance.kv.pickOutcome = call => (call === "write" ? "late" : "ok");
    t.true(hasResult(await expectRejection(t, instance, createEdit()), "documentOutcomeUnknown"));
    let calls = 0;
    instance.kv.pause = () => {
        calls += 1;
        if (calls === 2) {
            instance.kv.service.applyDelayed();
        }
        return Promise.resolve();
    };
    const repeated = await instance.store.apply(createEdit({ repeat: true }));
    t.deepEqual(repeated, { revision: 1, alreadyApplied: true });
});

test("a repeat while the key-value service is unavailable leaves the outcome unknown", async t => {
    const instance = createInstance();
    instance.kv.disconnect();
    t.true(hasResult(await expectRejection(t, instance, createEdit()), "documentUnavailable"));
    t.true(hasResult(await expectRejection(t, instance, createEdit({ repeat: true })), "documentOutcomeUnknown"));
});

test("history is bounded, and an edit older than its oldest revision has an unknown outcome", async t => {
    const instance = createInstance({ historyKept: 2 });
    for (let revision = 0; revision < 5; revision++) {
        const text = createToppedUpText(revision);
        await instance.store.apply(createEdit({ text, baseRevision: revision, editId: `edit-${revision}` }));
    }
    t.deepEqual((await instance.store.getHistory()).map(entry => entry.revision), [5, 4]);
    const err = await expectRejection(t, instance, createEdit({ editId: "edit-0", text: createToppedUpText(0) }));
    t.true(hasResult(err, "documentOutcomeUnknown"));
});

test("edits are rejected if the key-value service holds a lower revision than the active one", async t => {
    const instance = createInstance();
    await instance.store.apply(createEdit());
    await instance.kv.txn({ compares: [], deletes: [{ key: "/ospreyreel/config/document" }] });
    const err = await expectRejection(t, instance, createEdit({ editId: "edit-2" }));
    t.true(hasResult(err, "documentUnavailable"));
    t.is(instance.store.current()?.revision, 1);
});
