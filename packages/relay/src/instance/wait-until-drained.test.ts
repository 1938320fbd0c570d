import test from "ava";
import { StopWindow } from "../policy/stop-window.js";
import { waitUntilDrained } from "./wait-until-drained.js";

const createWindow = (lengthMs: number): StopWindow =>
    StopWindow.open({ startedAtMs: performance.now(), lengthMs, addressLifetimeMs: 20 });

test("a request that arrives while an idle instance closes its connections is not accepted and cut", async t => {
    const window = createWindow(60_000);
    await waitUntilDrained({ window, getOpenExchanges: () => 0, stopAccepting: () => undefined });
    const nowMs = performance.now();
    t.false(window.isAccepting(nowMs, nowMs + 1));
});

test("a request that was accepted just before is waited for", async t => {
    const window = createWindow(60_000);
    // Idle at first, and one exchange is open as soon as nothing more is accepted.
    const open = [0, 1, 1, 0];
    await waitUntilDrained({ window, getOpenExchanges: () => open.shift() ?? 0, stopAccepting: () => undefined });
    t.deepEqual(open, []);
});

test("a stop ends with its window though an exchange does not", async t => {
    const window = createWindow(200);
    await waitUntilDrained({ window, getOpenExchanges: () => 1, stopAccepting: () => undefined });
    t.true(performance.now() >= window.endsAtMs);
});

test("what was opened before the port accepts no more is waited for", async t => {
    const window = createWindow(60_000);
    let open = 0;
    const stopAccepting = (): void => {
        t.false(window.isAccepting(performance.now(), performance.now() + 1));
        open = 1;
        setTimeout(() => open = 0, 100);
    };
    await waitUntilDrained({ window, getOpenExchanges: () => open, stopAccepting });
    t.is(open, 0);
});
