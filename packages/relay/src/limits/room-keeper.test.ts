import test from "ava";
import { RoomKeeper } from "./room-keeper.js";

const REQ = { target: "target-1@1", slots: 10 };

/** Beyond the time after which reports count no more, in milliseconds. */
const LONG_MS = 3_100;

const start = () => {
    const clock = { nowMs: 1_000 };
    const keeper = new RoomKeeper({ nowMs: () => clock.nowMs, getReachableShare: () => 1 });
    const acquire = (instance: string, count: number): number =>
        Array.from({ length: count }, () => keeper.acquire(REQ, instance)).filter(({ granted }) => granted).length;
    return { clock, keeper, acquire };
};

test("all instances together get no more room than a target has", t => {
    const { keeper, acquire } = start();
    t.is(acquire("a", 6) + acquire("b", 6), 9);
    keeper.receive({ ...REQ, kind: "released", open: 5 }, "a");
    t.is(acquire("b", 3), 1);
});

test("a rejection leaves less room, and more is tried one by one", t => {
    const { clock, keeper, acquire } = start();
    t.is(acquire("a", 6), 6);
    keeper.receive({ ...REQ, kind: "rejected", open: 6 }, "a");
    t.is(acquire("a", 3), 0);
    keeper.receive({ ...REQ, kind: "released", open: 5 }, "a");
    t.is(acquire("b", 3), 0);
    clock.nowMs += 1_100;
    t.is(acquire("b", 3), 1);
});

test("the room of an instance that was lost, or is silent, is free again", t => {
    const { clock, keeper, acquire } = start();
    acquire("a", 9);
    t.is(acquire("b", 1), 0);
    keeper.remove("a");
    t.is(acquire("b", 12), 9);
    clock.nowMs += LONG_MS;
    t.is(acquire("c", 12), 9);
});

test("a lost report is made up for by the next count", t => {
    const { keeper, acquire } = start();
    acquire("a", 9);
    keeper.receive({ ...REQ, kind: "open", open: 2 }, "a");
    t.is(acquire("b", 12), 7);
});

test("a target with one slot gets one request at a time", t => {
    const { keeper } = start();
    t.true(keeper.acquire({ target: "t@1", slots: 1 }, "a").granted);
    t.deepEqual(keeper.acquire({ target: "t@1", slots: 1 }, "a"), { granted: false, waitMs: 100 });
});
