import test from "ava";
import { createRoute } from "../fixtures/documents.js";
import { createRequest } from "../fixtures/plain-protocol.js";
import { createVersion } from "../fixtures/version-fleet.js";
import { AffinityPlacement } from "../policy/affinity-placement.js";
import { TargetDirectory } from "./target-directory.js";
import { type BegunStream, TargetSelector } from "./target-selector.js";

const RESUMABLE = createRoute({ kind: "streaming", isResumable: true });

/** A service with one target of a version that is known everywhere, and one of a new version. */
const createSelector = () => {
    const directory = new TargetDirectory();
    directory.put(createVersion("old", "v1"));
    directory.put(createVersion("new", "v2"));
    const selector = new TargetSelector({
        directory,
        placement: new AffinityPlacement(),
        availabilityZone: "zone-a",
        getConnectionLimit: () => 100,
        isSettled: (_service, version) => version === "v1",
        now: () => 0,
    });
    const select = (route = RESUMABLE, tried: readonly string[] = [], begun?: BegunStream): string | undefined =>
        selector.select(createRequest({ id: "a" }), route, "service-1", { tried: new Set(tried), begun })?.target.id;
    return { directory, select };
};

test("a stream that may be resumed does not begin at a version that other instances may not know yet", t => {
    const { directory, select } = createSelector();
    const busy = directory.findStart("old@1");
    if (busy !== undefined) {
        busy.inFlight = 8;
    }
    t.is(select(), "old");
    t.is(select(createRoute({ kind: "streaming" })), "new");
    t.is(select(createRoute()), "new");
});

test("a new version serves streams where no other one can, and those that it began", t => {
    const { select } = createSelector();
    t.is(select(RESUMABLE, ["old"]), "new");
    t.is(select(RESUMABLE, [], { version: "v2" }), "new");
});
