import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, type PlatformInstance } from "./platform-fleet.js";
import { type OpenStream, openStream, type ReceivedStream } from "./stream-caller.js";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Streams that are open at the same time in each test. */
const STREAM_COUNT = 8;

const EVENTS = 60;
const STEP_MS = 25;

/** Time within which an instance has read a change of the targets, in milliseconds. */
const NOTICE_MS = 1_000;

/** Longest time until a caller is told that its stream cannot be resumed, in milliseconds. */
const REFUSAL_MS = 1_500;

const startFleet = async (modelVersions: readonly string[]): Promise<PlatformFleet> =>
    await PlatformFleet.start({
        prepaid: 10_000_000,
        modelVersions,
        models: { events: EVENTS, stepMs: STEP_MS, downMs: 5_000 },
    });

const getInstance = (fleet: PlatformFleet, index: number): PlatformInstance => {
    const instance = fleet.instances[index % fleet.instances.length];
    if (instance === undefined) {
        throw new Error("no instance");
    }
    return instance;
};

const openStreams = async (
    fleet: PlatformFleet,
    getIndex = (index: number): number => index,
): Promise<readonly OpenStream[]> => {
    const streams = [...Array(STREAM_COUNT).keys()].map(index =>
        openStream(fleet, getInstance(fleet, getIndex(index)))
    );
    await Promise.all(streams.map(({ begun }) => begun));
    return streams;
};

const killAll = async (fleet: PlatformFleet): Promise<void> => {
    const processes = fleet.instances.map(({ process }) => process);
    processes.forEach(process => process.kill("SIGKILL"));
    await Promise.all(processes.map(process => process.exited));
    await Promise.all(fleet.instances.map(instance => fleet.restart(instance)));
};

const endAll = async (streams: readonly OpenStream[]): Promise<readonly ReceivedStream[]> =>
    await Promise.all(streams.map(({ ended }) => ended));

/** Versions in the events of a stream and of what followed when it was resumed. */
const getVersions = (...parts: readonly ReceivedStream[]): readonly string[] => [
    ...new Set(parts.flatMap(({ versions }) => versions)),
];

const resumeAll = async (
    fleet: PlatformFleet,
    broken: readonly ReceivedStream[],
    getIndex = (index: number): number => index + 1,
): Promise<readonly ReceivedStream[]> =>
    await endAll(broken.map((stream, index) => openStream(fleet, getInstance(fleet, getIndex(index)), stream)));

test.serial("a stream is not continued by a target of another version within one answer", async t => {
    const fleet = await startFleet(["v1", "v2", "v2"]);
    t.teardown(() => fleet.close());
    const streams = await openStreams(fleet);
    const [only, crashing] = fleet.models;
    // No other target of v1 is left, and one of v2 is.
    await Promise.race([Promise.all([only?.crash(), crashing?.crash()]), sleep(STEP_MS)]);
    const ended = await endAll(streams);
    t.deepEqual(ended.filter(stream => getVersions(stream).length > 1), []);
    const first = ended.filter(stream => getVersions(stream).includes("v1"));
    t.true(first.length > 0 && first.length < STREAM_COUNT);
    t.true(first.every(({ isComplete }) => !isComplete));
    const second = ended.filter(stream => getVersions(stream).includes("v2"));
    t.true(second.every(({ isComplete, lastEventId }) => isComplete && lastEventId === EVENTS));
});

test.serial("a stream that is resumed at another instance goes on at the version that began it", async t => {
    const fleet = await startFleet(["v1", "v1", "v2", "v2"]);
    t.teardown(() => fleet.close());
    const streams = await openStreams(fleet, () => 0);
    getInstance(fleet, 0).process.kill("SIGKILL");
    const broken = await endAll(streams);
    const resumed = await resumeAll(fleet, broken, index => 1 + index % 2);
    t.deepEqual(
        broken.filter((stream, index) => getVersions(stream, ...resumed.slice(index, index + 1)).length > 1),
        [],
    );
    t.is(getVersions(...broken).length, 2);
    t.deepEqual(resumed.filter(({ status, isComplete }) => status !== HTTP_OK || !isComplete), []);
});

test.serial("a stream is not joined from two versions when all instances were killed at once", async t => {
    const fleet = await startFleet(["v1", "v1", "v2", "v2"]);
    t.teardown(() => fleet.close());
    const streams = await openStreams(fleet);
    await killAll(fleet);
    const broken = await endAll(streams);
    const resumed = await resumeAll(fleet, broken);
    t.deepEqual(
        broken.filter((stream, index) => getVersions(stream, ...resumed.slice(index, index + 1)).length > 1),
        [],
    );
    const refused = resumed.filter(({ status }) => status !== HTTP_OK);
    t.true(refused.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
    t.true(refused.every(({ ms }) => ms < REFUSAL_MS));
});

test.serial("a stream of a version that left just before all instances were killed is not continued by another", async t => {
    const fleet = await startFleet(["v1", "v1", "v2", "v2"]);
    t.teardown(() => fleet.close());
    const streams = await openStreams(fleet);
    fleet.announceLeaving(0);
    fleet.announceLeaving(1);
    await sleep(NOTICE_MS / 2);
    await killAll(fleet);
    const broken = await endAll(streams);
    const resumed = await resumeAll(fleet, broken);
    t.true(getVersions(...broken).includes("v1"));
    t.deepEqual(
        broken.filter((stream, index) => getVersions(stream, ...resumed.slice(index, index + 1)).length > 1),
        [],
    );
});

test.serial("a stream is resumed after all instances were killed where only one version has served", async t => {
    const fleet = await startFleet(["v1", "v1"]);
    t.teardown(() => fleet.close());
    await sleep(NOTICE_MS);
    const streams = await openStreams(fleet);
    await killAll(fleet);
    const broken = await endAll(streams);
    const resumed = await resumeAll(fleet, broken);
    t.deepEqual(resumed.filter(({ status, isComplete }) => status !== HTTP_OK || !isComplete), []);
});
