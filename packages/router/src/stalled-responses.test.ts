import test from "ava";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { StalledResponses } from "./stalled-responses.js";

const TIMEOUT_MS = 1_000;

const createResponse = () => {
    const socket = { writableLength: 0, destroyed: false, destroy: () => void (socket.destroyed = true) };
    const res = Object.assign(new EventEmitter(), { socket });
    return { socket, res: res as unknown as ServerResponse };
};

const createMonitor = () => {
    const clock = { nowMs: 0, stalls: 0 };
    const monitor = new StalledResponses({
        stallTimeoutMs: TIMEOUT_MS,
        onStall: () => clock.stalls += 1,
        now: () => clock.nowMs,
    });
    monitor.close();
    const advance = (ms: number): void => {
        clock.nowMs += ms;
        monitor.check();
    };
    return { clock, monitor, advance };
};

test("a connection without reads for the whole timeout is closed", t => {
    const { clock, monitor, advance } = createMonitor();
    const { socket, res } = createResponse();
    monitor.add(res);
    socket.writableLength = 10;
    advance(0);
    advance(TIMEOUT_MS - 1);
    t.false(socket.destroyed);
    advance(1);
    t.true(socket.destroyed);
    t.is(clock.stalls, 1);
});

test("slow progress, or a response with nothing to read, keeps the connection open", t => {
    const { monitor, advance } = createMonitor();
    const slow = createResponse();
    const waiting = createResponse();
    monitor.add(slow.res);
    monitor.add(waiting.res);
    for (let left = 10; left > 0; left--) {
        slow.socket.writableLength = left;
        advance(TIMEOUT_MS);
    }
    t.false(slow.socket.destroyed);
    t.false(waiting.socket.destroyed);
});

test("a closed response is no longer monitored", t => {
    const { monitor, advance } = createMonitor();
    const { socket, res } = createResponse();
    monitor.add(res);
    socket.writableLength = 10;
    advance(0);
    res.emit("close");
    advance(TIMEOUT_MS);
    t.false(socket.destroyed);
});
