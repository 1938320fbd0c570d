import test from "ava";
import { createVersion, VersionFleet, type VersionMember } from "../fixtures/version-fleet.js";
import { getStreamName } from "./stream-name.js";

const SERVICE = "service-1";
const STREAM = getStreamName("team-1", "attempt-1");

/** Beyond the time in which streams are resumed, in milliseconds. */
const LONG_MS = 61_000;

const start = async (versions: readonly string[], count = 3) => {
    const fleet = new VersionFleet();
    versions.forEach((version, index) => fleet.put(createVersion(`t${index}`, version)));
    for (let index = 0; index < count; index++) {
        await fleet.start(`instance-${index}`);
    }
    const [first, second] = fleet.members;
    if (first === undefined || second === undefined) {
        throw new Error("no instances");
    }
    return { fleet, first, second };
};

const find = async ({ origins }: VersionMember, stream: string | undefined = STREAM) =>
    await origins.find({ stream, services: [SERVICE] });

test("the version of a stream is known after the instance that began it was killed", async t => {
    const { fleet, first, second } = await start(["v1", "v2"]);
    first.origins.recordBegun(STREAM, { service: SERVICE, version: "v2" });
    await fleet.settle();
    fleet.kill(first);
    t.deepEqual(await find(second), { service: SERVICE, version: "v2" });
});

test("a stream that began while there was one version is known after another one has joined", async t => {
    const { fleet, first, second } = await start(["v1"]);
    first.origins.recordBegun(STREAM, { service: SERVICE, version: "v1" });
    fleet.put(createVersion("t9", "v2"));
    await fleet.settle();
    fleet.kill(first);
    t.deepEqual(await find(second), { service: SERVICE, version: "v1" });
});

test("streams from before a second release are known to other instances as well", async t => {
    const { fleet, first, second } = await start(["v1", "v2"]);
    fleet.remove("t0");
    fleet.nowMs += LONG_MS;
    first.origins.recordBegun(STREAM, { service: SERVICE, version: "v2" });
    fleet.put(createVersion("t9", "v3"));
    await fleet.settle();
    fleet.kill(first);
    t.deepEqual(await find(second), { service: SERVICE, version: "v2" });
});

test("streams from before a release that is tried again are known to other instances as well", async t => {
    const { fleet, first, second } = await start(["v1", "v2"]);
    fleet.remove("t1");
    fleet.nowMs += LONG_MS;
    first.origins.recordBegun(STREAM, { service: SERVICE, version: "v1" });
    fleet.put(createVersion("t1", "v2"));
    await fleet.settle();
    fleet.kill(first);
    t.deepEqual(await find(second), { service: SERVICE, version: "v1" });
});

test("a stream that no instance knows is not guessed while several versions serve", async t => {
    const { second } = await start(["v1", "v2"]);
    t.is(await find(second), undefined);
    t.is(await second.origins.find({ stream: undefined, services: [SERVICE] }), undefined);
});

test("another team's stream is not found by its caller's id", async t => {
    const { fleet, first } = await start(["v1", "v2"]);
    first.origins.recordBegun(STREAM, { service: SERVICE, version: "v1" });
    await fleet.settle();
    t.is(await find(first, getStreamName("team-2", "attempt-1")), undefined);
});

test("a stream of unknown beginning goes on where one version has served long enough", async t => {
    const { fleet, first } = await start(["v1", "v2"]);
    fleet.remove("t1");
    t.is(await find(first, undefined), undefined);
    fleet.nowMs += LONG_MS;
    t.deepEqual(await find(first, undefined), { service: SERVICE, version: "v1" });
});

test("an instance that does not reach the KV service does not take an old version for the only one", async t => {
    const { fleet, second } = await start(["v1"]);
    fleet.stale.add("instance-1");
    t.deepEqual(await find(second), { service: SERVICE, version: "v1" });
    fleet.put(createVersion("t9", "v2"));
    t.is(await find(second), undefined);
});

test("an instance that reaches neither the KV service nor a peer does not guess", async t => {
    const { fleet, second } = await start(["v1"]);
    fleet.stale.add("instance-1");
    fleet.network.disconnect(second.hub);
    t.is(await find(second), undefined);
});

test("peers that do not reach the KV service either are no proof that one version serves", async t => {
    const { fleet, second } = await start(["v1"]);
    ["instance-1", "instance-2"].forEach(instance => fleet.stale.add(instance));
    const first = fleet.members[0];
    if (first !== undefined) {
        fleet.network.disconnect(first.hub);
    }
    fleet.put(createVersion("t9", "v2"));
    t.is(await find(second), undefined);
});

test("instances that ask each other do not keep a version that has left known forever", async t => {
    const { fleet, first, second } = await start(["v1", "v2"]);
    fleet.remove("t0");
    for (let atMs = 0; atMs < LONG_MS; atMs += 5_000) {
        fleet.nowMs += 5_000;
        await find(first);
        await find(second);
    }
    t.deepEqual(await find(first), { service: SERVICE, version: "v2" });
});

test("streams of targets without a version are continued nowhere", async t => {
    const fleet = new VersionFleet();
    fleet.put(createVersion("t0", undefined));
    const member = await fleet.start("instance-0");
    t.is(await find(member), undefined);
});

test("a stream that may have begun at one of two services is not guessed", async t => {
    const { fleet, first } = await start(["v1"]);
    fleet.put({ ...createVersion("t9", "v1"), service: "service-2" });
    t.is(await first.origins.find({ stream: undefined, services: [SERVICE, "service-2"] }), undefined);
});
