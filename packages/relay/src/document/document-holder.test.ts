import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { createDocument } from "../fixtures/documents.js";
import { DocumentHolder } from "./document-holder.js";

const createHolder = (versions: readonly number[]) => {
    const clock = { nowMs: 0 };
    const holder = new DocumentHolder({ nowMs: () => clock.nowMs });
    versions.forEach(version => holder.replaceIfNewer(createDocument({ version }), Buffer.alloc(0)));
    const find = (from: number): number | undefined => holder.findOldest(from)?.document.version;
    return { clock, holder, find };
};

test("callers of an instance whose desired state is late are decided by the version that it has, not refused", t => {
    const { find } = createHolder([5, 8, 10]);
    t.is(find(8), 8);
    t.is(find(6), 8);
    t.is(find(10), 10);
    t.is(find(0), 5);
});

test("a replaced desired state is kept for seconds only, and few of them", t => {
    const { clock, find } = createHolder([1, 2, 3, 4, 5, 6]);
    t.is(find(1), 3);
    clock.nowMs = 10_001;
    t.is(find(1), 6);
});

test("a replaced desired state leaves the memory though nobody asks for it", async t => {
    const holder = new DocumentHolder({ replacedTtlMs: 20 });
    [1, 2].forEach(version => holder.replaceIfNewer(createDocument({ version }), Buffer.alloc(0)));
    t.deepEqual(holder.replacedVersions, [1]);
    const endsAtMs = performance.now() + 10_000;
    while (holder.replacedVersions.length > 0 && performance.now() < endsAtMs) {
        await sleep(10);
    }
    t.deepEqual(holder.replacedVersions, []);
});

test("an older desired state never replaces a newer one", t => {
    const { holder, find } = createHolder([5]);
    t.false(holder.replaceIfNewer(createDocument({ version: 4 }), Buffer.alloc(0)));
    t.is(find(0), 5);
});

test("a wait for a version ends when it is active, and without it after its time", async t => {
    const { holder } = createHolder([1]);
    // Nothing else keeps the test's process running.
    const running = setInterval(() => undefined, 10);
    t.teardown(() => clearInterval(running));
    const waiting = holder.waitFor(2, 5_000);
    holder.replaceIfNewer(createDocument({ version: 2 }), Buffer.alloc(0));
    t.true(await waiting);
    t.false(await holder.waitFor(3, 20));
});
