import { toRevision } from "@ospreyreel/kv";
import test from "ava";
import { TargetDirectory } from "./target-directory.js";
import type { Target } from "./target.js";

const createTarget = (change: Partial<Target> = {}): Target => ({
    id: "t1",
    service: "service-1",
    version: "v1",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    slots: 4,
    leaving: false,
    startedAtMs: 1_000,
    ...change,
});

/** A directory in which a target was announced at revision 10 and then removed. */
const createWithRemoved = (): TargetDirectory => {
    const directory = new TargetDirectory();
    directory.put(createTarget(), 10);
    directory.remove("t1");
    return directory;
};

// Guards against targets that have left and get requests again, since an older copy of the KV service announces them.
test("a target that was removed stays gone when its announcement comes back from an older copy", t => {
    const directory = createWithRemoved();
    t.is(directory.put(createTarget(), toRevision(1, 8)), "outdated");
    t.is(directory.put(createTarget(), toRevision(1, 8)), "outdated");
    t.deepEqual(directory.getServing("service-1").states, []);
    t.false(directory.remove("t1"));
    // The service came back a second time.
    t.is(directory.put(createTarget(), toRevision(2, 9)), "outdated");
    t.deepEqual(directory.getServing("service-1").states, []);
});

test("a removed target that announces itself again is used", t => {
    t.is(createWithRemoved().put(createTarget(), 11), "added");
    t.is(createWithRemoved().put(createTarget({ startedAtMs: 2_000 }), toRevision(1, 3)), "added");
    const restored = createWithRemoved();
    t.is(restored.put(createTarget(), toRevision(1, 8)), "outdated");
    t.is(restored.put(createTarget(), toRevision(1, 9)), "added");
});

test("an earlier start of a target does not replace the present one, nor a removed one", t => {
    const directory = new TargetDirectory();
    directory.put(createTarget({ startedAtMs: 2_000 }), 12);
    t.is(directory.put(createTarget(), 10), "outdated");
    t.is(directory.put(createTarget(), toRevision(1, 10)), "outdated");
    t.is(directory.list()[0]?.target.startedAtMs, 2_000);
    directory.remove("t1");
    t.is(directory.put(createTarget(), 10), "outdated");
    t.deepEqual(directory.list(), []);
});

test("a start with an earlier time of day replaces the present one where it was announced later", t => {
    const directory = new TargetDirectory();
    directory.put(createTarget({ startedAtMs: 2_000 }), 12);
    t.is(directory.put(createTarget(), 13), "restarted");
});

test("what a target has told of itself holds when its announcement was gone for a time", t => {
    const directory = new TargetDirectory();
    directory.put(createTarget(), 10);
    const [state] = directory.list();
    const nowMs = performance.now();
    state?.limit.apply(3, nowMs);
    state?.pause(nowMs + 60_000);
    directory.remove("t1");
    t.is(directory.put(createTarget(), 12), "added");
    const [again] = directory.list();
    t.is(again?.limit.perS, 3);
    t.true((again?.getPauseMs(nowMs) ?? 0) > 0);
    t.false(again?.target.leaving);
    directory.markLeaving("t1");
    directory.remove("t1");
    directory.put(createTarget(), 14);
    t.true(directory.list()[0]?.target.leaving);
});

test("the removed targets that are remembered have a bound", t => {
    const directory = new TargetDirectory();
    for (let at = 0; at < 3_000; at++) {
        directory.put(createTarget({ id: `t${at}` }), at);
        directory.remove(`t${at}`);
    }
    t.true(directory.removedIds.length <= 1_024);
});

test("the standing of a start is told by what is announced of it", t => {
    const directory = new TargetDirectory();
    const target = createTarget();
    directory.put(target);
    t.is(directory.getStanding(target), "serving");
    directory.markLeaving("t1");
    t.is(directory.getStanding(target), "leaving");
    directory.put(createTarget({ startedAtMs: 2_000 }));
    t.is(directory.getStanding(target), "restarted");
    directory.remove("t1");
    t.is(directory.getStanding(target), "leaving");
});
