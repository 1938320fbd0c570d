import type { KvChange, KvEntry } from "@ospreyreel/kv";
import test from "ava";
import { ChangeLog } from "./change-log.js";

const createEntry = (key: string, value: string, modRevision: number): KvEntry => ({
    key,
    value: Buffer.from(value),
    modRevision,
});

const put = (key: string, value: string, revision: number): KvChange => ({
    kind: "put",
    entry: createEntry(key, value, revision),
});

/** A log to which a change after the dash of a value is irrelevant. */
const createLog = (): ChangeLog => {
    const getMeaning = (entry: KvEntry): string => Buffer.from(entry.value).toString().split("-")[0] ?? "";
    const log = new ChangeLog((before, after) => getMeaning(before) === getMeaning(after));
    log.replace({ entries: [createEntry("a", "ready-1", 5), createEntry("b", "ready-1", 6)], at: 10 });
    return log;
};

test("irrelevant updates are not returned, and the log is complete up to the newest revision", t => {
    const log = createLog();
    const result = log.apply({ changes: [put("a", "ready-2", 11), put("b", "leaving-2", 12)], at: 12 });
    t.deepEqual(result.changes.map(change => change.kind === "put" ? change.entry.key : change.kind), ["b"]);
    t.is(log.at, 12);
});

test("changes after a revision are returned once for each key, removals included", t => {
    const log = createLog();
    log.apply({ changes: [put("c", "ready", 11), { kind: "delete", key: "a", revision: 12 }], at: 12 });
    log.apply({ changes: [put("c", "leaving", 13)], at: 13 });
    const since = log.getSince(10);
    t.deepEqual(since?.changes, [{ kind: "delete", key: "a", revision: 12 }, put("c", "leaving", 13)]);
    t.deepEqual(log.getSince(13), { changes: [], at: 13 });
    t.is(log.getSince(9), undefined);
});

test("an entry that is written again after its removal is a change", t => {
    const log = createLog();
    log.apply({ changes: [{ kind: "delete", key: "a", revision: 11 }], at: 11 });
    const applied = log.apply({ changes: [put("a", "ready-1", 12)], at: 12 });
    t.is(applied.changes.length, 1);
    t.deepEqual(log.getSince(10)?.changes, [put("a", "ready-1", 12)]);
});

test("a snapshot without a known key is a removal of that key", t => {
    const log = createLog();
    log.replace({ entries: [createEntry("b", "ready-9", 20)], at: 21 });
    t.deepEqual(log.getSince(10)?.changes, [{ kind: "delete", key: "a", revision: 21 }]);
});

test("revisions before the oldest stored removal are unknown", t => {
    const log = createLog();
    for (let revision = 11; revision < 1_100; revision++) {
        log.apply({ changes: [{ kind: "delete", key: `gone-${revision}`, revision }], at: revision });
    }
    t.is(log.getSince(10), undefined);
    t.truthy(log.getSince(1_000));
});
