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
    const clock = { nowMs: 0 };
    const evacuated = new Set<string>();
    const directory = new TargetDirectory();
    directory.put(createVersion("old", "v1"));
    directory.put(createVersion("new", "v2"));
    const selector = new TargetSelector({
        directory,
        placement: new AffinityPlacement(),
        availabilityZone: "zone-a",
        getConnectionLimit: () => 100,
        isSettled: (_service, version) => version === "v1",
        isEvacuated: ({ id }) => evacuated.has(id),
        now: () => clock.nowMs,
    });
    const select = (
        route = RESUMABLE,
        tried: readonly string[] = [],
        begun?: BegunStream,
        mayTry = true,
    ): string | undefined => {
        const limits = { tried: new Set(tried), begun, mayTry };
        return selector.select(createRequest({ id: "a" }), route, "service-1", limits)?.target.id;
    };
    return { directory, selector, select, clock, evacuated };
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

test("load pattern, an instance that reaches no target: one request at a time tries one, the others are refused at once", t => {
    const { directory, select, clock } = createSelector();
    const route = createRoute();
    const health = directory.findStart("old@1")?.health;
    health?.recordUnreachable(0, 0);
    directory.findStart("new@1")?.health.recordUnreachable(0, 0);
    t.is(select(route), undefined);
    clock.nowMs = 600;
    // A request that has waited for one connection in vain waits for no second one.
    t.is(select(route, [], undefined, false), undefined);
    t.is(select(route, ["new"]), "old");
    t.true(health?.isOnTrial);
    health?.beginTrial(clock.nowMs);
    t.is(select(route, ["new"]), undefined);
    health?.recordResponse(false, 10);
    t.false(health?.isOnTrial);
    t.is(select(route, ["new"], undefined, false), "old");
});

test("a target that rejects a request is no longer on trial", t => {
    const { directory, select } = createSelector();
    const health = directory.findStart("old@1")?.health;
    health?.recordUnreachable(0, 0);
    health?.recordRejection();
    t.is(select(RESUMABLE, ["new"], undefined, false), "old");
});

test("a target in an evacuated zone gets nothing: no request, no trial, no rest of a stream and none that waits for a connection", t => {
    const { directory, selector, select, evacuated, clock } = createSelector();
    const old = directory.findStart("old@1");
    if (old === undefined) {
        t.fail("no target");
        return;
    }
    t.true(selector.mayStart(old, 0));
    evacuated.add("old");
    t.false(selector.mayStart(old, 0));
    t.is(select(), "new");
    t.is(select(RESUMABLE, [], { version: "v1" }), undefined);
    t.is(select(RESUMABLE, ["new"]), undefined);
    old.health.recordUnreachable(0, 0);
    clock.nowMs = 600;
    t.is(select(RESUMABLE, ["new"]), undefined);
});

test("a service whose targets are all in evacuated zones has no target, and no time after which it will", t => {
    const { directory, selector, select, evacuated, clock } = createSelector();
    ["old", "new"].forEach(id => evacuated.add(id));
    directory.findStart("old@1")?.limit.block(clock.nowMs + 100);
    t.is(select(), undefined);
    t.false(selector.hasTarget("service-1"));
    t.is(selector.getWaitMs("service-1", { tried: new Set(), begun: undefined }), undefined);
});
