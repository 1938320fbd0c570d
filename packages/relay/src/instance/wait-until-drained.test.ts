import test from "ava";
import { StopWindow } from "../policy/stop-window.js";
import { waitUntilDrained } from "./wait-until-drained.js";

const createWindow = (lengthMs: number): StopWindow =>
    new StopWindow({ startedAtMs: performance.now(), lengthMs, addressLifetimeMs: 20 });

test("a request that arrives while an idle instance closes its connections is not accepted and cut", async t => {
    const window = createWindow(60_000);
    await waitUntilDrained(window, () => 0);
    const nowMs = performance.now();
    t.false(window.isAccepting(nowMs, nowMs + 1));
});

test("a request that was accepted just before is waited for", async t => {
    const window = createWindow(60_000);
    // Idle at first, and one exchange is open as soon as nothing more is accepted.
    const open = [0, 1, 1, 0];
    await waitUntilDrained(window, () => open.shift() ?? 0);
    t.deepEqual(open, []);
});

test("a stop ends with its window though an exchange does not", async t => {
    const window = createWindow(200);
    await waitUntilDrained(window, () => 1);
    t.true(performance.now() >= window.endsAtMs);
});
