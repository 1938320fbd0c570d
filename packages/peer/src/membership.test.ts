import test from "ava";
import { createInfo } from "./hub-fixtures.js";
import { Membership } from "./membership.js";
import type { MemberRecord } from "./messages.js";

const recordOf = (version: number, incarnation = "b-1", generation = 1): MemberRecord => ({
    info: createInfo({ instance: "b", incarnation }),
    generation,
    version,
});

const largeFleet = (): Membership => {
    const membership = new Membership();
    membership.setShowsUnknown(true);
    return membership;
};

test("a suspicion that is not refuted in time removes the member, a refuted one does not", t => {
    const membership = largeFleet();
    const suspicion = { instance: "b", incarnation: "b-1", version: 0, stopped: false };
    membership.mergeRelayed(recordOf(0), 0);
    t.true(membership.suspect(suspicion, 10));
    t.true(membership.mergeRelayed(recordOf(1), 20));
    membership.removeExpired(1_000, 1_000);
    t.is(membership.size, 1);
    t.true(membership.suspect({ ...suspicion, version: 1 }, 1_010));
    membership.removeExpired(2_000, 2_000);
    t.is(membership.size, 0);
    t.false(membership.mergeRelayed(recordOf(1), 2_010));
    t.true(membership.mergeRelayed(recordOf(2), 2_020));
});

test("a member in contact is not suspected because of another instance's suspicion", t => {
    const membership = largeFleet();
    membership.mergeOwn(recordOf(0), 0);
    t.false(membership.suspect({ instance: "b", incarnation: "b-1", version: 0, stopped: false }, 10));
});

test("a timed-out member is hidden until it is in contact again, whatever other instances report", t => {
    const membership = largeFleet();
    membership.mergeOwn(recordOf(0), 0);
    t.is(membership.detectTimeouts(100, 200).length, 1);
    membership.mergeRelayed(recordOf(1), 210);
    t.deepEqual(membership.list(), []);
    membership.mergeOwn(recordOf(1), 220);
    t.is(membership.list().length, 1);
});

test("an older incarnation does not replace a newer one", t => {
    const membership = largeFleet();
    membership.mergeOwn(recordOf(0, "b-2", 2), 0);
    t.is(membership.mergeOwn(recordOf(9, "b-1", 1), 10), "stale");
    t.is(membership.list()[0]?.incarnation, "b-2");
});
