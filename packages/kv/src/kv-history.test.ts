import test from "ava";
import { KvHistory } from "./kv-history.js";

test("a restore is reported once, when a response of a later era arrives", t => {
    const history = new KvHistory();
    const restores: number[] = [];
    history.onRestore(era => restores.push(era));
    history.record(3, 10);
    history.record(3, 20);
    t.deepEqual(restores, []);
    history.record(4, 30);
    history.record(4, 40);
    t.deepEqual(restores, [4]);
    t.is(history.era, 4);
});

test("a late response of an earlier era, or one with an unreadable era, confirms nothing", t => {
    const history = new KvHistory();
    history.record(2, 10);
    history.record(1, 50);
    history.record(Number.NaN, 60);
    t.is(history.era, 2);
    t.is(history.confirmedAtMs, 10);
});

test("a service that tells no era is confirmed by each response", t => {
    const history = new KvHistory();
    history.record(0, 10);
    history.record(0, 5);
    t.is(history.confirmedAtMs, 10);
});

test("an era counts as known from when a response tells it, also where its call was sent long before", t => {
    const history = new KvHistory();
    const sentAtMs = performance.now() - 30_000;
    history.record(1, sentAtMs);
    const before = performance.now();
    history.record(2, sentAtMs);
    t.true(history.knownAtMs >= before);
});
