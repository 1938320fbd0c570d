import { OspreyError } from "@ospreyreel/errors";
import test from "ava";
import { createVersion, VersionFleet } from "../fixtures/version-fleet.js";

const SERVICE = "service-1";
const KEY = `ospreyreel/versions/${SERVICE}`;

/** Beyond the time in which streams are resumed, in milliseconds. */
const LONG_MS = 61_000;

const startFirst = async (versions: readonly string[]) => {
    const fleet = new VersionFleet();
    versions.forEach((version, index) => fleet.put(createVersion(`t${index}`, version)));
    const first = await fleet.start("instance-0");
    await first.record.saveAll();
    return { fleet, first };
};

test("a version that left while no instance ran is not taken for the one that came", async t => {
    const { fleet, first } = await startFirst(["v1"]);
    fleet.kill(first);
    fleet.remove("t0");
    fleet.put(createVersion("t1", "v2"));
    const next = await fleet.start("instance-0");
    t.is(next.history.getOnlyOrigin([SERVICE]), undefined);
    t.deepEqual(next.history.list(SERVICE), ["v1", "v2"]);
});

test("a version that left just before all instances were killed is still known", async t => {
    const { fleet, first } = await startFirst(["v1", "v2"]);
    fleet.remove("t0");
    await first.record.saveAll();
    fleet.kill(first);
    const next = await fleet.start("instance-0");
    t.deepEqual(next.history.list(SERVICE), ["v1", "v2"]);
});

test("the only version is known at once after all instances were killed", async t => {
    const { fleet, first } = await startFirst(["v1", "v1"]);
    fleet.kill(first);
    const next = await fleet.start("instance-0");
    t.deepEqual(next.history.getOnlyOrigin([SERVICE]), { service: SERVICE, version: "v1" });
});

test("no version is taken for the only one before the record is read", async t => {
    const { fleet, first } = await startFirst(["v1"]);
    fleet.kill(first);
    const next = await fleet.start("instance-0", false);
    t.is(next.history.getOnlyOrigin([SERVICE]), undefined);
    fleet.nowMs += LONG_MS;
    t.deepEqual(next.history.getOnlyOrigin([SERVICE]), { service: SERVICE, version: "v1" });
});

test("a version is forgotten once its streams are too old to be resumed", async t => {
    const { fleet, first } = await startFirst(["v1", "v2"]);
    fleet.remove("t0");
    fleet.nowMs += LONG_MS;
    await first.record.saveAll();
    const entry = await fleet.kv.get(KEY);
    t.is(Buffer.from(entry?.value ?? []).toString(), "[\"v2\"]");
});

test("versions of another writer's record count as serving until now", async t => {
    const { fleet, first } = await startFirst(["v1"]);
    await fleet.kv.txn({ compares: [], puts: [{ key: KEY, value: Buffer.from("[\"v1\",\"v7\"]") }] });
    fleet.put(createVersion("t1", "v2"));
    await first.record.saveAll();
    t.deepEqual(first.history.list(SERVICE), ["v1", "v2", "v7"]);
});

test("a record that the KV service has lost is written again", async t => {
    const { fleet, first } = await startFirst(["v1"]);
    await fleet.kv.txn({ compares: [], deletes: [{ key: KEY }] });
    fleet.nowMs += LONG_MS;
    await first.record.saveAll();
    t.not(await fleet.kv.get(KEY), undefined);
});

test("a KV service that is away leaves the versions unknown and is logged", async t => {
    const { fleet, first } = await startFirst(["v1"]);
    fleet.kv.range = () => Promise.reject(new OspreyError("away", { result: "kvUnavailable" }));
    fleet.kill(first);
    const next = await fleet.start("instance-0");
    t.is(next.history.getOnlyOrigin([SERVICE]), undefined);
    t.true(next.log.lines.some(({ event }) => event === "versions not read"));
});
