import test from "ava";
import { createRequest } from "../fixtures/plain-protocol.js";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { SpeedEstimate } from "./speed-estimate.js";
import { type TargetLoad, TargetLoads } from "./target-loads.js";
import { TargetSpeeds } from "./target-speeds.js";

class FakeLoads extends TargetLoads {
    queued = 0;

    override get(): TargetLoad {
        return { running: 0, queued: this.queued, usedTokens: 0, capacityTokens: 0, ageMs: 0, weight: 1 };
    }
}

const create = () => {
    const clock = { nowMs: 0 };
    const loads = new FakeLoads();
    const speeds = new TargetSpeeds({ loads, nowMs: () => clock.nowMs });
    const target = createStart("target-1", 1);
    /** A send whose first event comes after `firstMs`, and ten more 20 ms apart. */
    const send = (firstMs: number, ownTokens: number, sharedTokens = 0): void => {
        const shared = sharedTokens === 0 ? [] : [{ id: "shared", tokens: sharedTokens }];
        const parts = [...shared, { id: "own", tokens: ownTokens }];
        const generation = { promptTokens: ownTokens + sharedTokens, maxOutputTokens: 10, parts };
        const observed = speeds.begin(target, createRequest({ generation }));
        clock.nowMs += firstMs;
        observed.recordEvents(1);
        clock.nowMs += 200;
        observed.recordEvents(10);
        observed.end();
    };
    return { clock, loads, send, get: () => speeds.get(target) };
};

test("long prompts do not make a target look slow, nor does a part that it has cached make it look fast", t => {
    const { send, get } = create();
    [400, 4_000, 800, 8_000].forEach(tokens => send(tokens / 40, tokens));
    t.deepEqual(get(), { msPerEvent: 20, msPerPromptToken: 1 / 40 });
    // Whether the part is cached is not known at first, then it is.
    send(1_000 / 40, 1_000, 6_300);
    send(1_000 / 40, 1_000, 6_300);
    t.is(get().msPerPromptToken, 1 / 40);
});

test("requests that waited say nothing of the speed, and a single slow one little", t => {
    const { loads, send, get } = create();
    [1, 2, 3].forEach(() => send(10, 400));
    loads.queued = 1;
    send(5_000, 400);
    t.is(get().msPerPromptToken, 1 / 40);
    loads.queued = 0;
    send(5_000, 400);
    t.true((get().msPerPromptToken ?? 1) <= 1.1 / 40);
});

test("a speed is forgotten with time, and not told from too few samples", t => {
    const estimate = new SpeedEstimate();
    estimate.add(10, 0);
    t.is(estimate.getValue(0), undefined);
    estimate.add(10, 1);
    estimate.add(10, 2);
    t.is(estimate.getValue(100_000), 10);
    t.is(estimate.getValue(200_000), undefined);
    estimate.add(30, 200_000);
    estimate.add(30, 200_001);
    estimate.add(30, 200_002);
    t.is(estimate.getValue(200_002), 30);
});
