import test from "ava";
import fc from "fast-check";
import { StopWindow } from "./stop-window.js";

const createWindow = (addressLifetimeMs: number): StopWindow =>
    StopWindow.open({ startedAtMs: 1_000, lengthMs: 8_000, addressLifetimeMs });

test("callers that do not know of the stop yet are served whatever their deadline", t => {
    const window = createWindow(3_000);
    t.true(window.isAccepting(1_000, 60_000));
    t.true(window.isAccepting(3_999, 60_000));
});

test("a request that may run beyond the end of the stop is not accepted late in it", t => {
    const window = createWindow(3_000);
    t.false(window.isAccepting(4_000, 9_001));
    t.true(window.isAccepting(4_000, 9_000));
    t.false(window.isAccepting(8_999, 9_001));
});

test("most of the stop is left for accepted requests, however long callers keep addresses", t => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 100_000 }), addressLifetimeMs => {
        const window = createWindow(addressLifetimeMs);
        return !window.isAccepting(4_200, window.endsAtMs + 1);
    }));
    t.pass();
});

// Guards against requests on handed-off connections that are cut at the end of the stop of the instance that serves them.
test("of a peer's callers only requests are accepted that end before the stop does", t => {
    const window = createWindow(3_000);
    t.false(window.isAcceptingForPeer(9_001));
    t.true(window.isAcceptingForPeer(9_000));
    window.close();
    t.false(window.isAcceptingForPeer(9_000));
});
