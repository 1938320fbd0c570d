import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { DocumentHolder } from "../document/document-holder.js";
import type { RelayRoute } from "../document/relay-document.js";
import { createDocument, createRoute } from "../fixtures/documents.js";
import { FakeExchange } from "../fixtures/fake-exchange.js";
import { FakeTargetPort } from "../fixtures/fake-target-port.js";
import { KnownStarts } from "../fixtures/known-starts.js";
import { MemoryLog } from "../fixtures/memory-log.js";
import { createRequest } from "../fixtures/plain-protocol.js";
import { SingleVersionOrigins } from "../fixtures/single-version-origins.js";
import type { TargetLoad } from "../load/target-loads.js";
import { AffinityPlacement } from "../policy/affinity-placement.js";
import { EqualUrgency } from "../policy/request-urgency.js";
import { RetryAllowance } from "../policy/retry-allowance.js";
import { OpenPartGate } from "../quarantine/part-gate.js";
import type { RelayRequest } from "../relay-request.js";
import { Relay } from "../relay.js";
import type { StartCheck } from "../targets/start-check.js";
import { TargetDirectory } from "../targets/target-directory.js";
import type { TargetCall, TargetOutcome } from "../targets/target-port.js";
import { TargetSelector } from "../targets/target-selector.js";
import type { Target } from "../targets/target.js";
import { SecondSends } from "./second-sends.js";

type Outcome = (call: TargetCall) => TargetOutcome | Promise<TargetOutcome>;

/** Time to the first byte that is learned before each test, in milliseconds; a second send is due a little later. */
const USUAL_MS = 20;

/** Time at which a target responds after the second send was made, in milliseconds. */
const LATE_MS = 120;

const SAMPLES = 100;

const IDLE: TargetLoad = { running: 0, queued: 0, usedTokens: 0, capacityTokens: 0, ageMs: 0, weight: 1 };
const FULL: TargetLoad = { ...IDLE, running: 4, queued: 1 };

const STREAMING: Partial<RelayRoute> = { kind: "streaming", isResumable: true };

/** A body of chunks that then waits until the send is aborted, if `isOpen` is set. */
const createBody = async function*(call: TargetCall, chunks: readonly string[], isOpen: boolean) {
    for (const chunk of chunks) {
        yield Buffer.from(chunk);
    }
    if (isOpen) {
        await aborted(call);
        throw new Error("aborted");
    }
};

const aborted = (call: TargetCall): Promise<void> =>
    new Promise(resolve => call.signal.addEventListener("abort", () => resolve(), { once: true }));

const respond = (chunks: readonly string[], status = 200, isOpen = false): Outcome => call => ({
    kind: "answer",
    head: { status, headers: [], isFramed: true },
    body: createBody(call, chunks, isOpen),
});

const late = (outcome: Outcome): Outcome => async call => {
    await Promise.race([sleep(LATE_MS), aborted(call)]);
    return call.signal.aborted ? { kind: "failed", cause: "aborted" } : await outcome(call);
};

const silent: Outcome = async call => {
    await aborted(call);
    return { kind: "failed", cause: "aborted" };
};

const failing: Outcome = () => ({ kind: "failed", cause: "reset" });
const full: Outcome = () => ({ kind: "not_run", reason: "full" });

interface ServeOptions {
    readonly route?: Partial<RelayRoute>;
    readonly req?: Partial<RelayRequest>;
    readonly versions?: readonly string[];
    readonly loads?: Readonly<Record<string, TargetLoad>>;
    readonly share?: number;
    readonly retries?: { readonly slack: number; readonly used: number; };
    readonly starts?: StartCheck;
    readonly isInstanceReady?: boolean;
    readonly acquireSecond?: () => Promise<boolean>;
    /** What ends the request's time once the second send is made. */
    readonly endsAtSecond?: "caller_left" | "time_out";
}

const createDirectory = (versions: readonly string[]): TargetDirectory => {
    const directory = new TargetDirectory();
    const common = { service: "service-1", host: "127.0.0.1", port: 1, availabilityZone: "a", slots: 4 };
    versions.forEach((version, index) =>
        directory.put({ ...common, id: `t${index + 1}`, version, leaving: false, startedAtMs: undefined })
    );
    return directory;
};

/** Second sends that have learned the usual time, and the counters that they add to. */
const createSeconds = (directory: TargetDirectory, log: MemoryLog, opts: ServeOptions) => {
    const counts = new Map<string, number>();
    const secondSends = new SecondSends({
        share: opts.share ?? 0.2,
        percentile: 95,
        directory,
        loads: { get: ({ id }) => opts.loads?.[id] ?? IDLE },
        isInstanceReady: () => opts.isInstanceReady ?? true,
        log,
        count: (name, amount = 1) => counts.set(name, (counts.get(name) ?? 0) + amount),
    });
    for (let sample = 0; sample < SAMPLES; sample++) {
        secondSends.getPolicy("service-1").recordSend();
        secondSends.getPolicy("service-1").recordFirstByte(0, USUAL_MS);
    }
    return { secondSends, counts };
};

const createDocuments = (route: Partial<RelayRoute> = {}): DocumentHolder => {
    const documents = new DocumentHolder();
    const teams = [{ name: "team-1", keys: ["key-1"], priority: undefined, prepaidTokens: 1_000 }];
    const services = [{ name: "service-1", maxConnections: 100, tokensPerEvent: 5 }];
    documents.replaceIfNewer(createDocument({ routes: [createRoute(route)], teams, services }), Buffer.alloc(0));
    return documents;
};

/** Permits that count what is acquired and not released; `acquireSecond` resolves whether the second send is permitted. */
const createPermits = (acquireSecond: () => Promise<boolean>) => {
    const counted = { acquired: 0, open: 0 };
    const acquire = async (): Promise<boolean> => {
        counted.acquired += 1;
        const isGranted = counted.acquired === 1 || await acquireSecond();
        counted.open += isGranted ? 1 : 0;
        return isGranted;
    };
    const release = (): void => {
        counted.open -= 1;
    };
    return { permits: { acquire, release, recordOutcome: () => undefined }, counted };
};

/** Serves one request; the first target is tried first. */
const serve = async (outcomes: readonly Outcome[], opts: ServeOptions = {}) => {
    const { versions = ["v1", "v1", "v1"], retries = { slack: 100, used: 0 } } = opts;
    const directory = createDirectory(versions);
    const log = new MemoryLog();
    const { secondSends, counts } = createSeconds(directory, log, opts);
    const caller = new FakeExchange();
    const port = new FakeTargetPort(outcomes.map((outcome, index) => call => {
        if (index === 1 && opts.endsAtSecond !== undefined) {
            setImmediate(() =>
                opts.endsAtSecond === "caller_left" ? caller.disconnect.abort() : relay.expireOpenRequests()
            );
        }
        return outcome(call);
    }));
    const sent: string[] = [];
    const losses: string[] = [];
    const charges: number[] = [];
    const hold = { settle: (tokens: number) => void charges.push(tokens) };
    const { permits, counted } = createPermits(opts.acquireSecond ?? (() => Promise.resolve(true)));
    const allowance = new RetryAllowance({ ratio: 0, ...retries, windowMs: 10_000, getInstances: () => 1 });
    [...Array(retries.used).keys()].forEach(() => allowance.tryAcquire());
    const relay = new Relay({
        documents: createDocuments(opts.route),
        selector: new TargetSelector({
            directory,
            placement: new AffinityPlacement(),
            availabilityZone: "a",
            getConnectionLimit: () => 10,
        }),
        port,
        urgency: new EqualUrgency(),
        budgets: { hold: () => Promise.resolve({ kind: "held", hold }) },
        getRetries: () => allowance,
        overload: { getRefusal: () => undefined },
        freshness: { isOutdated: false, ageMs: 0 },
        permits,
        origins: new SingleVersionOrigins("v1"),
        starts: opts.starts ?? new KnownStarts(),
        parts: Object.assign(new OpenPartGate(), {
            recordLoss: (_watched: unknown, { id }: Target) => Promise.resolve(losses.push(id) > 0),
        }),
        secondSends,
        log,
        meter: {
            recordEnd: () => undefined,
            recordSend: outcome => void sent.push(outcome),
            recordEndBeforeAnswer: () => undefined,
        },
        random: () => 0,
    });
    await relay.serve(createRequest({ teamKey: "key-1", ...opts.req }), caller);
    // Lets a cancelled send end.
    await sleep(1);
    const states = port.calls.map(({ target: { id } }) => directory.findStart(`${id}@`));
    const getOpen = (): number => directory.list().reduce((sum, { inFlight }) => sum + inFlight, counted.open);
    return { caller, port, line: log.lines.at(-1), counts, states, sent, losses, charges, getOpen, open: getOpen() };
};

// Guards against callers that wait for a slow target while others are idle, against a cancelled target that counts as failed, and
// against permits and requests in flight that a cancelled send leaves behind.
test("a fast target answers for a slow one, which is cancelled and only counts as slow", async t => {
    const { caller, port, line, counts, states, sent, losses, open } = await serve([silent, respond(["whole"])]);
    t.is(caller.response?.body, "whole");
    t.true(port.calls[0]?.signal.aborted);
    t.deepEqual([line?.["sends"], line?.["secondSend"], line?.["target"]], [2, "won", port.calls[1]?.target.id]);
    t.is(line?.["firstTarget"], port.calls[0]?.target.id);
    t.deepEqual([counts.get("second_sends"), counts.get("second_sends_won")], [1, 1]);
    t.is(counts.get("second_sends_cancelled"), 1);
    t.deepEqual([...sent].sort(), ["answer", "cancelled"]);
    t.is(states[0]?.health.errorShare, 0);
    t.true((states[0]?.health.firstByteMs ?? 0) >= USUAL_MS);
    t.deepEqual(losses, []);
    t.is(open, 0);
});

// Guards against a refusal that promises that a request has not run though two targets may run it.
test("a request that is late at both targets times out and is not reported as not run", async t => {
    const { caller, port, counts, open } = await serve([silent, silent], { endsAtSecond: "time_out" });
    t.is(caller.refusal?.reason, "timedOut");
    t.is(port.calls.length, 2);
    t.true(port.calls.every(({ signal }) => signal.aborted));
    t.is(counts.get("second_sends_undecided"), 1);
    t.is(open, 0);
});

// Guards against a second send whose failure ends the request or hides a loss from the quarantine.
test("the first send goes on when the second one fails, which is recorded once", async t => {
    const { caller, port, states, losses, counts } = await serve([late(respond(["whole"])), failing]);
    t.is(caller.response?.body, "whole");
    t.is(port.calls.length, 2);
    t.deepEqual(losses, [port.calls[1]?.target.id]);
    t.true((states[1]?.health.errorShare ?? 0) > 0);
    t.is(counts.get("second_sends_lost"), 1);
});

// Guards against an error that is passed on while the other target can still respond.
test("an error response is not used while the other send goes on", async t => {
    const { caller } = await serve([late(respond(["whole"])), respond(["error"], 500)]);
    t.is(caller.response?.body, "whole");
});

// Guards against a promise that the request has not run, and against a third send.
for (const [name, first] of Object.entries({ rejected: full, lost: failing })) {
    test(`where the first send is ${name} and the second one lost, the request ends without a promise`, async t => {
        const { caller, port } = await serve([late(first), late(failing)]);
        t.is(port.calls.length, 2);
        t.is(caller.refusal?.reason, "targetFailed");
    });
}

// Guards against a second response that goes on beside the first one.
test("the first send is used where it responds first, and the second one is cancelled", async t => {
    const { caller, port, line, counts, open } = await serve([late(respond(["first"])), silent]);
    t.is(caller.response?.body, "first");
    t.true(port.calls[1]?.signal.aborted);
    t.false(port.calls[0]?.signal.aborted);
    t.is(line?.["secondSend"], "lost");
    t.is(counts.get("second_sends_lost"), 1);
    t.is(open, 0);
});

// Guards against targets that work on for a caller who has left.
test("both sends are aborted when the caller leaves", async t => {
    const { caller, port, line, open } = await serve([silent, silent], { endsAtSecond: "caller_left" });
    t.is(port.calls.length, 2);
    t.true(port.calls.every(({ signal }) => signal.aborted));
    t.deepEqual([caller.refusal, line?.["result"]], [undefined, "caller_left"]);
    t.is(open, 0);
});

// Guards against requests that run twice though they may run once, or more often than their route allows.
for (
    const [name, route] of Object.entries<Partial<RelayRoute>>({
        "non-idempotent": { kind: "non_idempotent" },
        "not resumable": { kind: "streaming" },
        "with one attempt": { maxAttempts: 1 },
    })
) {
    test(`a request that is ${name} has no second send`, async t => {
        const { port, counts } = await serve([late(respond(["id: 1\n\n"]))], { route });
        t.is(port.calls.length, 1);
        t.is(counts.size, 0);
    });
}

// Guards against work beyond the operators' limits, for targets without room, beside a stop, and at another version.
for (
    const [denial, opts] of Object.entries<ServeOptions>({
        share: { share: 0.001 },
        allowance: { retries: { slack: 10, used: 4 } },
        short_of_capacity: { loads: { t1: FULL, t2: FULL, t3: FULL } },
        no_room: { loads: { t2: FULL, t3: FULL, t1: IDLE }, versions: ["v1", "v1", "v1", "v2", "v2", "v2"] },
        instance_not_ready: { isInstanceReady: false },
        limited: { acquireSecond: () => Promise.resolve(false) },
        answered: { acquireSecond: () => sleep(2 * LATE_MS, true) },
    })
) {
    test(`no second send is made where the reason is ${denial}`, async t => {
        const { port, counts, caller, getOpen } = await serve([late(respond(["whole"]))], opts);
        await sleep(denial === "answered" ? 2 * LATE_MS : 0);
        t.is(port.calls.length, 1);
        t.is(getOpen(), 0);
        t.deepEqual([...counts], [[`second_sends_not_sent_${denial}`, 1]]);
        t.is(caller.response?.body, "whole");
    });
}

// Guards against a stream of another version than the one that its request was first sent to.
test("the second send goes to no other version", async t => {
    const { port, counts } = await serve([late(respond(["whole"]))], { versions: ["v1", "v2"] });
    t.is(port.calls.length, 1);
    t.is(counts.get("second_sends_not_sent_no_room"), 1);
});

// Guards against a resumed stream that is continued by a target that has started again as another version.
test("the response of a second send is not used where it is not known which start of its target responded", async t => {
    let checks = 0;
    const starts = { isCertain: () => false, verify: () => Promise.resolve((checks += 1) > 1) };
    const { caller, port } = await serve([late(respond(["id: 4\n\n"])), respond(["id: 9\n\n"])], {
        route: STREAMING,
        req: { lastEventId: 3, resumes: "request-0" },
        starts,
    });
    t.is(port.calls.length, 2);
    t.is(caller.events, "id: 4\n\n");
});

// Guards against a target that sends its head early and is slow all the same, against events of two streams, and against a second bill.
test("a stream comes from the send with the first event, and is charged once", async t => {
    const generation = { promptTokens: 0, maxOutputTokens: 100, parts: [] };
    const { caller, port, line, charges, open } = await serve(
        [respond([": begun\n\n"], 200, true), respond(["id: 1\n\nid: 2\n\n"])],
        { route: STREAMING, req: { generation } },
    );
    t.is(caller.events, "id: 1\n\nid: 2\n\n");
    t.is(caller.ended, "complete");
    t.true(port.calls[0]?.signal.aborted);
    t.deepEqual([line?.["sends"], line?.["secondSend"]], [2, "won"]);
    t.deepEqual(charges, [10]);
    t.is(open, 0);
});
