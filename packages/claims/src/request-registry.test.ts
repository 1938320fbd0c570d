import { OspreyError } from "@ospreyreel/errors";
import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import { type RequestIdentity, RequestRegistry, type RequestRegistryOptions } from "./request-registry.js";

const KIB = 1_024;

const createRegistry = (opts: Partial<RequestRegistryOptions> = {}) => {
    const clock = { nowMs: 0 };
    const registry = new RequestRegistry({ counters: new Counters(), now: () => clock.nowMs, ...opts });
    return { clock, registry };
};

const identify = (requestKey: string, fingerprint = "f", team = "alpha"): RequestIdentity => ({
    team,
    requestKey,
    fingerprint,
});

const finishWith = (registry: RequestRegistry, requestKey: string, bytes: number): void => {
    const response = registry.add(identify(requestKey));
    response.start({ status: 200, headers: {} });
    response.write(Buffer.alloc(bytes));
    response.end();
    registry.finish(identify(requestKey));
};

test("a key is running, then finished, then evicted", t => {
    const { clock, registry } = createRegistry({ keepMs: 100 });
    t.is(registry.getState("alpha", "k"), "none");
    const response = registry.add(identify("k"));
    t.is(registry.getState("alpha", "k"), "running");
    t.is(registry.running, 1);
    t.is(registry.find(identify("k")), response);
    response.start({ status: 200, headers: {} });
    response.end();
    registry.finish(identify("k"));
    t.is(registry.running, 0);
    t.is(registry.getState("alpha", "k"), "finished");
    clock.nowMs = 101;
    t.is(registry.find(identify("k")), undefined);
});

test("a key with another request is rejected, and teams do not share keys", t => {
    const { registry } = createRegistry();
    registry.add(identify("k"));
    t.like(t.throws<OspreyError>(() => registry.find(identify("k", "other"))), { result: { name: "key_reused" } });
    t.is(registry.find(identify("k", "f", "beta")), undefined);
});

test("a failed request is removed so that a retry may run", t => {
    const { registry } = createRegistry();
    registry.add(identify("k")).fail(new OspreyError("full", { result: "overloaded" }));
    registry.finish(identify("k"));
    t.is(registry.getState("alpha", "k"), "none");
    t.is(registry.running, 0);
});

test("a forwarded request does not count as running here while its call lasts", t => {
    const { registry } = createRegistry();
    const response = registry.add(identify("k"));
    t.is(registry.getState("alpha", "k"), "running");
    response.fail(new OspreyError("forwarded", { result: "inProgressElsewhere" }));
    t.is(registry.getState("alpha", "k"), "none");
    t.is(registry.running, 1);
});

test("a second end of the same request changes nothing", t => {
    const { registry } = createRegistry();
    finishWith(registry, "k", 1);
    registry.finish(identify("k"));
    registry.finish(identify("never added"));
    t.is(registry.running, 0);
});

test("the oldest finished responses are evicted above the total size; running ones stay", t => {
    const { registry } = createRegistry({ maxRetainedBytes: 10 * KIB });
    registry.add(identify("running"));
    for (let i = 0; i < 8; i++) {
        finishWith(registry, `k${i}`, 2 * KIB);
    }
    const states = [...Array(8).keys()].map(i => registry.getState("alpha", `k${i}`));
    t.deepEqual(states, [...Array<string>(5).fill("none"), ...Array<string>(3).fill("finished")]);
    t.is(registry.getState("alpha", "running"), "running");
});

test("empty responses are bounded too", t => {
    const { registry } = createRegistry({ maxRetainedBytes: 10 * KIB });
    for (let i = 0; i < 100; i++) {
        finishWith(registry, `k${i}`, 0);
    }
    const retained = [...Array(100).keys()].filter(i => registry.getState("alpha", `k${i}`) === "finished");
    t.is(retained.length, 10);
});
