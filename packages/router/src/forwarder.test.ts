import { hasResult } from "@ospreyreel/errors";
import { Counters } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo } from "@ospreyreel/types";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { type CallerHandler, CallerServer } from "./caller-server.js";
import { Forwarder } from "./forwarder.js";

const LIMITS = {
    maxBodyBytes: 1_000,
    maxHeldBytes: 10_000,
    maxHeaderBytes: 10_000,
    bodyTimeoutMs: 10_000,
    stallTimeoutMs: 10_000,
};

const createInfo = (incarnation: string, caller: Address): InstanceInfo => ({
    instance: incarnation,
    incarnation,
    availabilityZone: "ahd-hall",
    region: "guj-west",
    caller,
    peer: { host: "127.0.0.1", port: 1 },
    state: "live",
    configRevision: 0,
});

interface Pair {
    /** Forwards all requests to the second one. */
    readonly first: Address;
    readonly second: Address;
    /** Whether the second one recognized each request as forwarded. */
    readonly found: boolean[];
    readonly counters: Counters;
}

interface PairOptions {
    readonly firstKey?: string;
    /** Incarnation of the second one as known to the first one. */
    readonly known?: string;
}

const startPair = async (t: ExecutionContext, opts: PairOptions = {}): Promise<Pair> => {
    const counters = new Counters();
    const found: boolean[] = [];
    const address = { host: "127.0.0.1", port: 0 };
    const start = async (handler: CallerHandler): Promise<Address> => {
        const server = new CallerServer({ address, limits: LIMITS, counters: new Counters(), handler });
        t.teardown(() => server.close());
        return await server.start();
    };
    const receiver = new Forwarder({
        hub: { self: () => createInfo("second", address), peers: () => [] },
        sharedKey: "key of the fleet",
        counters,
    });
    const second = await start(call => {
        found.push(receiver.isForwarded(call));
        call.res.end(call.body);
        return Promise.resolve();
    });
    const sender = new Forwarder({
        hub: { self: () => createInfo("first", address), peers: () => [createInfo(opts.known ?? "second", second)] },
        sharedKey: opts.firstKey ?? "key of the fleet",
        counters: new Counters(),
    });
    const first = await start(call => sender.forward(call, second, "outcomeUnknown"));
    return { first, second, found, counters };
};

const send = async (to: Address, headers: Readonly<Record<string, string>> = {}): Promise<string> => {
    const res = await request(`http://127.0.0.1:${to.port}/v1/services/tickets/a%20b?urgent=1&pump=%C3%A9`, {
        method: "POST",
        headers: { authorization: "Bearer key", "content-type": "text/plain", "idempotency-key": "k", ...headers },
        body: "pump",
    });
    return await res.body.text();
};

test("a request forwarded by an instance is recognized, whatever header its caller sent", async t => {
    const { first, found, counters } = await startPair(t);
    t.is(await send(first), "pump");
    await send(first, { "x-ospreyreel-forwarded": "1" });
    await send(first, { "content-type": "" });
    t.deepEqual(found, [true, true, true]);
    t.is(counters.get("forward_headers_refused"), 0);
});

test("a caller's own header is ignored and counted; a missing header is not counted", async t => {
    const { second, found, counters } = await startPair(t);
    await send(second);
    t.is(counters.get("forward_headers_refused"), 0);
    await send(second, { "x-ospreyreel-forwarded": "1" });
    t.deepEqual(found, [false, false]);
    t.is(counters.get("forward_headers_refused"), 1);
});

test("a signature with another key or for a former incarnation is invalid", async t => {
    for (const opts of [{ firstKey: "key of another fleet" }, { known: "before" }]) {
        const { first, found, counters } = await startPair(t, opts);
        t.is(await send(first), "pump");
        t.deepEqual(found, [false]);
        t.is(counters.get("forward_headers_refused"), 1);
    }
});

test("a request is not forwarded to an instance that is no longer known", async t => {
    const counters = new Counters();
    const hub = { self: () => createInfo("first", { host: "127.0.0.1", port: 1 }), peers: () => [] };
    const forwarder = new Forwarder({ hub, sharedKey: "key of the fleet", counters });
    const call = {} as Parameters<Forwarder["forward"]>[0];
    const err = await t.throwsAsync(forwarder.forward(call, { host: "127.0.0.1", port: 1 }, "outcomeUnknown"));
    t.true(hasResult(err, "peerUnavailable"));
});
