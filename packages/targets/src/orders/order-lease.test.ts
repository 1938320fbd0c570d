import { hasResult } from "@ospreyreel/errors";
import test from "ava";
import fc from "fast-check";
import { ManualClock } from "../fixtures/manual-clock.js";
import { MemoryKvClient } from "../fixtures/memory-kv-client.js";
import { OrderLease } from "./order-lease.js";

interface Setup {
    readonly clock: ManualClock;
    readonly kv: MemoryKvClient;
    readonly leases: readonly OrderLease[];
}

const setUp = (count = 2): Setup => {
    const clock = new ManualClock();
    const kv = new MemoryKvClient(clock.now);
    const holders = [...Array(count).keys()].map(i => `inc-${i}`);
    const leases = holders.map(holder => new OrderLease({ kv, prefix: "osprey", holder, ttlS: 10, now: clock.now }));
    return { clock, kv, leases };
};

test("the lease is renewed by its holder, and the next holder gets a higher number", async t => {
    const { clock, leases: [a, b] } = setUp() as Setup & { leases: [OrderLease, OrderLease]; };
    t.is((await a.acquireOrRenew())?.fencing, 1);
    clock.advance(5000);
    t.is((await a.acquireOrRenew())?.endsAtMs, 15_000);
    t.is(await b.acquireOrRenew(), undefined);
    clock.advance(10_000);
    t.is(a.held, undefined);
    t.is((await b.acquireOrRenew())?.fencing, 2);
    t.is(await a.acquireOrRenew(), undefined);
    await b.release();
    t.is((await a.acquireOrRenew())?.fencing, 3);
});

test("a lease acquired by a transaction whose reply was lost is recognised", async t => {
    const { kv, leases: [a] } = setUp(1) as Setup & { leases: [OrderLease]; };
    kv.repliesToLose = 1;
    t.true(hasResult(await t.throwsAsync(a.acquireOrRenew()), "kvOutcomeUnknown"));
    t.is(a.held, undefined);
    t.is((await a.acquireOrRenew())?.fencing, 1);
});

test("no orders of an older document are sent after those of a newer one", async t => {
    const { leases: [a, b] } = setUp() as Setup & { leases: [OrderLease, OrderLease]; };
    await a.acquireOrRenew();
    t.true(await a.raiseDocumentRevision(2));
    t.false(await a.raiseDocumentRevision(1));
    await a.release();
    await b.acquireOrRenew();
    t.false(await b.raiseDocumentRevision(1));
    t.true(await b.raiseDocumentRevision(2));
});

test("in any order of steps, pauses and lost replies at most one holder has a valid lease", async t => {
    const anyStep = fc.record({
        holder: fc.nat(2),
        advanceMs: fc.nat(6000),
        fault: fc.constantFrom("none" as const, "down" as const, "lost" as const),
    });
    await fc.assert(fc.asyncProperty(fc.array(anyStep, { maxLength: 30 }), async steps => {
        const { clock, kv, leases } = setUp(3);
        let highest = 0;
        for (const { holder, advanceMs, fault } of steps) {
            clock.advance(advanceMs);
            kv.down = fault === "down";
            kv.repliesToLose = fault === "lost" ? 1 : 0;
            await leases[holder]?.acquireOrRenew().catch(() => undefined);
            const numbers = leases.flatMap(lease => lease.held?.fencing ?? []);
            if (numbers.length > 1 || (numbers[0] ?? highest) < highest) {
                return false;
            }
            highest = numbers[0] ?? highest;
        }
        return true;
    }));
    t.pass();
});
