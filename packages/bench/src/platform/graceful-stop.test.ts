import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, MODEL_EVENTS, PlatformFleet } from "./platform-fleet.js";

const STOP_WITHIN_S = 3;

/** A stream takes 1.2 s, which is longer than the last part of a stop. */
const MODEL_STEP_MS = 200;

/** Pause between two requests, in milliseconds, so short that an instance is never idle. */
const PAUSE_MS = 25;

interface Call {
    readonly id: string;
    readonly sentAfterMs: number;
    readonly answer: CallerAnswer;
}

const isWhole = ({ answer }: Call): boolean => answer.status === 200 && answer.body.includes(`id: ${MODEL_EVENTS}\n`);

test.serial("a request that arrives late in a stop is refused as not run, and none is cut at its end", async t => {
    const fleet = await PlatformFleet.start({ modelStepMs: MODEL_STEP_MS, stopWithinS: STOP_WITHIN_S });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        throw new Error("no instances");
    }
    const startedAtMs = performance.now();
    const stopping = instance.process.stop();
    const ended = stopping.then(() => true);
    const calls: Promise<Call>[] = [];
    while (!await Promise.race([ended, sleep(PAUSE_MS).then(() => false)])) {
        const id = fleet.nextId();
        const sentAfterMs = performance.now() - startedAtMs;
        calls.push(fleet.ask(instance, 10, { "attempt-id": id }).then(answer => ({ id, sentAfterMs, answer })));
    }
    const results = await Promise.all(calls);
    const ran = new Set(fleet.ran.map(({ id }) => id));
    t.is((await stopping).code, 0);
    t.deepEqual(results.filter(call => ran.has(call.id) && !isWhole(call)), []);
    const refused = results.filter(({ answer }) => answer.status === 503);
    t.true(refused.length > 0);
    t.true(refused.every(({ answer }) => answer.retryAfterS !== undefined));
    // Callers that learned the address just before the stop are served.
    t.true(results.filter(({ sentAfterMs }) => sentAfterMs < 500).every(isWhole));
});

/** Resolves once the address accepts connections. */
const awaitListening = async (address: string): Promise<void> => {
    const [host, port] = address.split(":");
    for (;;) {
        const socket = connect({ host, port: Number(port) });
        const isOpen = await Promise.race([
            once(socket, "connect").then(() => true),
            once(socket, "close").then(() => false),
        ]).catch(() => false);
        socket.destroy();
        if (isOpen) {
            return;
        }
    }
};

test.serial("an instance that is told to stop as soon as it listens ends in order", async t => {
    const fleet = await PlatformFleet.start({ stopWithinS: STOP_WITHIN_S });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        throw new Error("no instances");
    }
    await instance.process.stop();
    const again = fleet.spawn(instance);
    await awaitListening(instance.callers);
    t.is((await again.stop()).code, 0);
});
