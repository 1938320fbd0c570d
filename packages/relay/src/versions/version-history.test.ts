import test from "ava";
import { createVersion } from "../fixtures/version-fleet.js";
import { TargetDirectory } from "../targets/target-directory.js";
import { VERSION_SETTLE_MS, VersionHistory } from "./version-history.js";

const SERVICE = "service-1";

const createHistory = () => {
    const directory = new TargetDirectory();
    const clock = { nowMs: 1_000 };
    const history = new VersionHistory({ directory, nowMs: () => clock.nowMs });
    return { directory, clock, history };
};

test("no stream begins at a version that an instance with a current view may not know yet", t => {
    const { directory, clock, history } = createHistory();
    directory.put(createVersion("t1", "v1"));
    t.true(history.isSettled(SERVICE, "v1"));
    clock.nowMs += VERSION_SETTLE_MS;
    directory.put(createVersion("t2", "v2"));
    t.true(history.isSettled(SERVICE, "v1"));
    t.false(history.isSettled(SERVICE, "v2"));
    clock.nowMs += VERSION_SETTLE_MS - 1;
    t.false(history.isSettled(SERVICE, "v2"));
    clock.nowMs += 1;
    t.true(history.isSettled(SERVICE, "v2"));
});

test("further targets of a version do not begin its time anew, and a version that comes back does", t => {
    const { directory, clock, history } = createHistory();
    directory.put(createVersion("t1", "v1"));
    directory.put(createVersion("t2", "v2"));
    clock.nowMs += VERSION_SETTLE_MS;
    directory.put(createVersion("t3", "v2"));
    t.true(history.isSettled(SERVICE, "v2"));
    directory.remove("t2");
    directory.remove("t3");
    directory.put(createVersion("t2", "v2"));
    t.false(history.isSettled(SERVICE, "v2"));
});
