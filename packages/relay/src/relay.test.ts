import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { OpenGate } from "./admission/open-gate.js";
import { type GatePass, type GateRefusal, RequestGate } from "./admission/request-gate.js";
import { type BudgetDecision, BudgetGate, OpenBudgetGate } from "./budget-gate.js";
import { DocumentHolder } from "./document/document-holder.js";
import type { RelayRoute } from "./document/relay-document.js";
import { createDocument, createRoute } from "./fixtures/documents.js";
import { FakeExchange } from "./fixtures/fake-exchange.js";
import { FakeTargetPort } from "./fixtures/fake-target-port.js";
import { KnownStarts } from "./fixtures/known-starts.js";
import { MemoryLog } from "./fixtures/memory-log.js";
import { createRequest } from "./fixtures/plain-protocol.js";
import { SingleVersionOrigins } from "./fixtures/single-version-origins.js";
import { UnlimitedSends } from "./limits/send-permits.js";
import { AffinityPlacement } from "./policy/affinity-placement.js";
import { PriorityUrgency } from "./policy/request-urgency.js";
import { RetryAllowance } from "./policy/retry-allowance.js";
import { StopWindow } from "./policy/stop-window.js";
import { type BlockedPart, OpenPartGate, PartGate, type RequestLoss } from "./quarantine/part-gate.js";
import type { WatchedRequest } from "./quarantine/watched-request.js";
import type { RelayRequest } from "./relay-request.js";
import { Relay } from "./relay.js";
import { type RespondingTarget, StartCheck } from "./targets/start-check.js";
import { TargetDirectory } from "./targets/target-directory.js";
import type { TargetCall, TargetOutcome } from "./targets/target-port.js";
import { TargetSelector } from "./targets/target-selector.js";
import type { Target } from "./targets/target.js";
import { StreamOrigins } from "./versions/stream-origins.js";

interface View {
    isOutdated: boolean;
    ageMs: number;
}

type Outcome = (call: TargetCall, directory: TargetDirectory, view: View) => TargetOutcome | Promise<TargetOutcome>;

/** Time that a caller waits in tests of requests whose time ends, in milliseconds. */
const SHORT_WAIT_MS = 300;

const HEAD = { status: 200, headers: [], isFramed: true };

/** Time after which a stopping instance ends its requests in these tests, in milliseconds. */
const STOP_AFTER_MS = 30;

/** A body of chunks; fails after the last one if `cut` is set. */
const createBody = async function*(chunks: readonly string[], cut = false): AsyncGenerator<Buffer> {
    for (const chunk of chunks) {
        await Promise.resolve();
        yield Buffer.from(chunk);
    }
    if (cut) {
        throw new Error("cut off");
    }
};

const respond = (chunks: readonly string[], cut = false, status = 200): Outcome => () => ({
    kind: "answer",
    head: { ...HEAD, status },
    body: createBody(chunks, cut),
});

const full: Outcome = () => ({ kind: "not_run", reason: "full" });
const failing: Outcome = () => ({ kind: "failed", cause: "reset" });
const unreachable: Outcome = () => ({ kind: "not_sent", cause: "refused" });

const unresponsive: Outcome = call =>
    new Promise(resolve => {
        call.signal.addEventListener("abort", () => resolve({ kind: "failed", cause: "aborted" }));
    });

interface ServeOptions {
    /** Software versions of the three targets; the same by default. */
    readonly versions?: readonly (string | undefined)[];
    readonly origins?: StreamOrigins;
    readonly starts?: StartCheck;
    readonly budgets?: BudgetGate;
    readonly parts?: PartGate;
    readonly disconnectsAfterMs?: number | "before";
    readonly overloadedForS?: number;
    readonly viewIsOutdated?: boolean;
    readonly gate?: RequestGate;
    /** Whether the request arrives late in a stop, or still runs at the end of one. */
    readonly stop?: "late" | "expired";
    /** Tokens in an event by a desired state that comes into force with the first send. */
    readonly laterEventTokens?: number;
}

/** Knows the starts of some targets only. */
class SomeStarts extends StartCheck {
    constructor(private readonly verified: readonly string[]) {
        super();
    }

    override isCertain(): boolean {
        return false;
    }

    override verify({ target: { id } }: RespondingTarget): Promise<boolean> {
        return Promise.resolve(this.verified.includes(id));
    }
}

/** Knows the start of a target while its entry is there. */
class PassingStarts extends StartCheck {
    isAnnounced = false;

    override isCertain(): boolean {
        return this.isAnnounced;
    }

    override verify(): Promise<boolean> {
        return Promise.resolve(this.isAnnounced);
    }
}

/** Knows no stream. */
class UnknownOrigins extends StreamOrigins {
    override recordBegun(): void {
        // Nothing is remembered.
    }

    override isMixed(): boolean {
        return false;
    }

    override find(): Promise<undefined> {
        return Promise.resolve(undefined);
    }
}

const createDirectory = (versions: readonly (string | undefined)[]): TargetDirectory => {
    const directory = new TargetDirectory();
    versions.forEach((version, index) => {
        const common = { service: "service-1", version, host: "127.0.0.1", port: 1, availabilityZone: "a", slots: 4 };
        directory.put({ id: `t${index + 1}`, ...common, leaving: false, startedAtMs: undefined });
    });
    return directory;
};

/** Allows some repeats. */
const getAllowance = (): () => RetryAllowance => {
    const allowance = new RetryAllowance({ ratio: 1, slack: 10, windowMs: 10_000, getInstances: () => 1 });
    return () => allowance;
};

const serve = async (
    outcomes: readonly Outcome[],
    route: Partial<RelayRoute> = {},
    req: Partial<RelayRequest> = {},
    opts: ServeOptions = {},
) => {
    const { budgets = new OpenBudgetGate(), parts = new OpenPartGate(), origins = new SingleVersionOrigins("v1") } =
        opts;
    const { starts = new KnownStarts(), versions = ["v1", "v1", "v1"] } = opts;
    const { disconnectsAfterMs, overloadedForS, viewIsOutdated = false, stop, laterEventTokens } = opts;
    const documents = new DocumentHolder();
    const teams = [{ name: "team-1", keys: ["key-1"], priority: undefined, prepaidTokens: 1_000 }];
    const apply = (version: number, tokensPerEvent: number): boolean =>
        documents.replaceIfNewer(
            createDocument({
                version,
                routes: [createRoute(route)],
                teams,
                services: [{ name: "service-1", maxConnections: 100, tokensPerEvent }],
            }),
            Buffer.alloc(0),
        );
    apply(1, 5);
    const directory = createDirectory(versions);
    const port = new FakeTargetPort(outcomes.map(outcome => call => {
        if (laterEventTokens !== undefined) {
            apply(2, laterEventTokens);
        }
        return outcome(call, directory, view);
    }));
    const view = { isOutdated: viewIsOutdated, ageMs: 0 };
    const log = new MemoryLog();
    const endsBeforeAnswer: string[] = [];
    const relay = new Relay({
        documents,
        selector: new TargetSelector({
            directory,
            placement: new AffinityPlacement(),
            availabilityZone: "a",
            getConnectionLimit: () => 10,
        }),
        port,
        urgency: new PriorityUrgency(),
        budgets,
        getRetries: getAllowance(),
        overload: { getRefusal: () => overloadedForS },
        freshness: view,
        permits: new UnlimitedSends(),
        gate: opts.gate ?? new OpenGate(),
        origins,
        starts,
        parts,
        log,
        meter: {
            recordEnd: () => undefined,
            recordSend: () => undefined,
            recordEndBeforeAnswer: service => {
                endsBeforeAnswer.push(service);
            },
        },
        random: () => 0,
    });
    if (stop === "late") {
        relay.limitTo(StopWindow.open({ startedAtMs: performance.now(), lengthMs: 0, addressLifetimeMs: 0 }));
    }
    const caller = new FakeExchange();
    if (disconnectsAfterMs === "before") {
        caller.disconnect.abort();
    }
    else if (disconnectsAfterMs !== undefined) {
        setTimeout(() => caller.disconnect.abort(), disconnectsAfterMs);
    }
    const served = relay.serve(createRequest({ teamKey: "key-1", ...req }), caller);
    if (stop === "expired") {
        await sleep(STOP_AFTER_MS);
        relay.expireOpenRequests();
    }
    await served;
    return { caller, port, lines: log.lines, endsBeforeAnswer };
};

test("an idempotent request whose response is lost is sent to another target", async t => {
    const { caller, port } = await serve([failing, respond(["whole"])]);
    t.is(caller.response?.body, "whole");
    t.is(new Set(port.calls.map(call => call.target.id)).size, 2);
});

test("a non-idempotent request whose response is lost is not repeated, and is not reported as not run", async t => {
    const { caller, port } = await serve([failing, respond(["whole"])], { kind: "non_idempotent" });
    t.is(port.calls.length, 1);
    t.is(caller.refusal?.reason, "targetFailed");
});

// Guards against requests that run twice, or are refused as not run, after the instance that served them has ended.
test("an interrupted request that may run once only is not sent, and is not reported as not run", async t => {
    const { caller, port } = await serve([respond(["whole"])], { kind: "non_idempotent" }, { isInterrupted: true });
    t.is(port.calls.length, 0);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("an interrupted request whose time is over is told so", async t => {
    const { caller } = await serve([respond(["whole"])], { kind: "non_idempotent", timeoutMs: 1_000 }, {
        isInterrupted: true,
        arrivedAtMs: performance.now() - 1_001,
    });
    t.is(caller.refusal?.reason, "timedOut");
});

test("an interrupted request that may be repeated is sent as a repeat", async t => {
    const { caller, port, lines } = await serve([respond(["whole"])], {}, { isInterrupted: true });
    t.is(caller.response?.body, "whole");
    t.is(port.calls.length, 1);
    t.is(lines.at(-1)?.["sends"], 2);
});

test("an interrupted request is not sent beyond its route's attempts", async t => {
    const { caller, port } = await serve([respond(["whole"])], { maxAttempts: 1 }, { isInterrupted: true });
    t.is(port.calls.length, 0);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("an interrupted stream is not begun again while several versions serve", async t => {
    class MixedOrigins extends SingleVersionOrigins {
        override isMixed(): boolean {
            return true;
        }
    }
    const { caller, port } = await serve(
        [respond(["id: 1\n\n"])],
        { kind: "streaming", isResumable: true },
        { isInterrupted: true },
        { origins: new MixedOrigins("v1") },
    );
    t.is(port.calls.length, 0);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("an interrupted request that cannot be repeated now is not reported as not run", async t => {
    const { caller } = await serve([respond(["whole"])], {}, { isInterrupted: true }, { overloadedForS: 1 });
    t.deepEqual(caller.refusal, { reason: "targetFailed" });
});

test("a non-idempotent request that no target ran is refused as not run, with a retry-after time", async t => {
    const { caller } = await serve([full], { kind: "non_idempotent", maxAttempts: 1 });
    t.is(caller.refusal?.reason, "overloaded");
    t.true((caller.refusal?.retryAfterS ?? 0) > 0);
});

test("a request that was rejected by one target and lost at another is not reported as not run", async t => {
    const { caller } = await serve([full, failing], { kind: "non_idempotent", maxAttempts: 2 });
    t.is(caller.refusal?.reason, "targetFailed");
});

test("a target that cannot be reached does not count as an attempt", async t => {
    const { caller, port } = await serve([unreachable, respond(["whole"])], {
        kind: "non_idempotent",
        maxAttempts: 1,
    });
    t.is(caller.response?.body, "whole");
    t.is(port.calls.length, 2);
});

test("a request whose target left before it was sent goes to another target", async t => {
    const leaveFirst: Outcome = (call, directory, view) => {
        t.true(call.mayStart());
        directory.remove(call.target.id);
        return call.mayStart() ? respond(["sent"])(call, directory, view) : { kind: "not_sent", cause: "left" };
    };
    const { caller, port } = await serve([leaveFirst, respond(["whole"])], { kind: "non_idempotent", maxAttempts: 1 });
    t.is(caller.response?.body, "whole");
    t.is(new Set(port.calls.map(call => call.target.id)).size, 2);
});

test("no request is sent to more targets than its route allows", async t => {
    const { caller, port } = await serve([failing], { maxAttempts: 2 });
    t.is(port.calls.length, 2);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("a truncated response is never relayed as complete", async t => {
    const { caller } = await serve([respond(["par"], true)], { kind: "non_idempotent" });
    t.is(caller.response, undefined);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("an interrupted stream is resumed at another target after the last complete event", async t => {
    const { caller, port } = await serve(
        [respond(["id: 1\n\nid: 2\n\nid: 3"], true), respond(["id: 3\n\nid: 4\n\n"])],
        { kind: "streaming", isResumable: true },
    );
    t.is(caller.events, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    t.is(port.calls[1]?.afterEvent, 2);
    t.is(caller.ended, "complete");
});

const respondWith = (body: string, contentType: string, isFramed = true, status = 200): Outcome => () => ({
    kind: "answer",
    head: { status, headers: [["content-type", contentType]], isFramed },
    body: createBody(body === "" ? [] : [body]),
});

const ERRORS: readonly (readonly [string, Outcome])[] = [
    ["500", respondWith("error: overloaded\n\n", "text/plain", true, 500)],
    ["400", respondWith("{\"error\":\"bad\"}", "application/json", true, 400)],
    ["200 that is no event stream", respondWith("{\"error\":\"bad\"}\n", "application/json")],
    ["200 with text that looks like an event", respondWith("error: overloaded\n\n", "text/plain")],
    ["200 without a body", respondWith("", "text/plain")],
    ["200 without a body or a length", respondWith("", "text/plain", false)],
    ["200 with the head of a response as text", respondWith("HTTP/1.1 500 Error\r\nserver: x\r\n\r\n", "text/plain")],
];

for (const [name, error] of ERRORS) {
    test(`nothing of an error is in a stream that has begun, nor does it end as complete: ${name}`, async t => {
        const { caller } = await serve(
            [respond(["id: 1\n\nid: 2\n\nid: 3"], true), error],
            { kind: "streaming", isResumable: true },
        );
        t.is(caller.events, "id: 1\n\nid: 2\n\n");
        t.is(caller.ended, "broken");
    });
}

test("a stream of which only the end was missing is complete when another target ends it", async t => {
    const { caller } = await serve(
        [respond(["id: 1\n\nid: 2\n\n"], true), respondWith("", "text/event-stream")],
        { kind: "streaming", isResumable: true },
    );
    t.is(caller.events, "id: 1\n\nid: 2\n\n");
    t.is(caller.ended, "complete");
});

test("an interrupted stream is aborted at once where no other target has its version", async t => {
    const { caller, port } = await serve(
        [respond(["id: 1\ndata: a\n\n"], true), respond(["id: 2\ndata: b\n\n"])],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        {},
        { versions: ["v1", "v2", "v3"] },
    );
    t.is(port.calls.length, 1);
    t.is(caller.ended, "broken");
});

test("an interrupted stream of a target without a version is continued by no other one", async t => {
    const { caller, port } = await serve(
        [respond(["id: 1\ndata: a\n\n"], true), respond(["id: 2\ndata: b\n\n"])],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        {},
        { versions: [undefined, undefined, undefined] },
    );
    t.is(port.calls.length, 1);
    t.is(caller.ended, "broken");
});

// Guards against streams of two versions in one answer, where a target has started again as another version unnoticed.
test("an interrupted stream is continued by no other target where it is not known which start of a target began it", async t => {
    const outcomes = [respond(["id: 1\ndata: a\n\n"], true), respond(["id: 2\ndata: b\n\n"])];
    const route = { kind: "streaming", isResumable: true, maxAttempts: 3 } as const;
    const unknown = await serve(outcomes, route, {}, { starts: new SomeStarts([]) });
    t.is(unknown.port.calls.length, 1);
    t.is(unknown.caller.events, "id: 1\ndata: a\n\n");
    t.is(unknown.caller.ended, "broken");
    const known = await serve(outcomes, route, {}, { starts: new SomeStarts(["t1", "t2", "t3"]) });
    t.is(known.caller.ended, "complete");
});

// Guards against streams that end midway with a target whose entry is removed before its process stops.
test("an interrupted stream is continued where it was certain meanwhile which start of a target began it", async t => {
    const starts = new PassingStarts();
    const body = async function*(): AsyncGenerator<Buffer> {
        yield Buffer.from("id: 1\ndata: a\n\n");
        await Promise.resolve();
        starts.isAnnounced = true;
        yield Buffer.from("id: 2\ndata: b\n\n");
        starts.isAnnounced = false;
        throw new Error("cut off");
    };
    const continued: Outcome = () => {
        starts.isAnnounced = true;
        return { kind: "answer", head: HEAD, body: createBody(["id: 3\ndata: c\n\n"]) };
    };
    const { caller, port } = await serve(
        [() => ({ kind: "answer", head: HEAD, body: body() }), continued],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        {},
        { starts },
    );
    t.is(port.calls.length, 2);
    t.is(caller.events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    t.is(caller.ended, "complete");
});

test("nothing of a target is in a stream that another one began where it is not known which start of it responds", async t => {
    const first = await serve([respond(["id: 1\ndata: a\n\n"])]);
    const began = first.port.calls[0]?.target.id ?? "";
    const { caller, port } = await serve(
        [respond(["id: 1\ndata: a\n\n"], true), respond(["id: 2\ndata: b\n\n"]), respond(["id: 2\ndata: c\n\n"])],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        {},
        { starts: new SomeStarts([began]) },
    );
    t.is(port.calls.length, 3);
    t.is(caller.events, "id: 1\ndata: a\n\n");
    t.is(caller.ended, "broken");
});

test("the connection of a response that is not used is given up, though nobody has read from it", async t => {
    let isGivenUp = false;
    const endless = async function*(): AsyncGenerator<Buffer> {
        try {
            for (let id = 2;; id++) {
                await sleep(1);
                yield Buffer.from(`id: ${id}\n\n`);
            }
        }
        finally {
            isGivenUp = true;
        }
    };
    const first = await serve([respond(["id: 1\ndata: a\n\n"])]);
    await serve(
        [respond(["id: 1\ndata: a\n\n"], true), () => ({ kind: "answer", head: HEAD, body: endless() })],
        { kind: "streaming", isResumable: true, maxAttempts: 2 },
        {},
        { starts: new SomeStarts([first.port.calls[0]?.target.id ?? ""]) },
    );
    await sleep(50);
    t.true(isGivenUp);
});

test("before its first event a stream may be sent to a target of any version", async t => {
    const { caller } = await serve(
        [failing, respond(["id: 1\ndata: a\n\n"])],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        {},
        { versions: ["v1", "v2", "v3"] },
    );
    t.is(caller.ended, "complete");
});

test("a stream of unknown beginning is refused at once with a retry time, and is not sent", async t => {
    const { caller, port } = await serve(
        [respond(["id: 2\ndata: b\n\n"])],
        { kind: "streaming", isResumable: true },
        { lastEventId: 1, resumes: "earlier" },
        { origins: new UnknownOrigins() },
    );
    t.is(port.calls.length, 0);
    t.deepEqual(caller.refusal, { reason: "originUnknown", retryAfterS: 1 });
});

test("a resumed stream is sent only to targets of the version that began it", async t => {
    const { caller, port } = await serve(
        [full, respond(["id: 2\ndata: b\n\n"])],
        { kind: "streaming", isResumable: true, maxAttempts: 3 },
        { lastEventId: 1, resumes: "earlier" },
        { versions: ["v1", "v2", "v1"] },
    );
    t.deepEqual(port.calls.map(call => call.target.version), ["v1", "v1"]);
    t.is(caller.ended, "complete");
});

test("a resumed stream whose version has no target is refused with a retry time", async t => {
    const { caller, port } = await serve(
        [respond(["id: 2\ndata: b\n\n"])],
        { kind: "streaming", isResumable: true },
        { lastEventId: 1, resumes: "earlier" },
        { versions: ["v2", "v2", "v2"] },
    );
    t.is(port.calls.length, 0);
    t.is(caller.refusal?.reason, "versionUnavailable");
    t.true((caller.refusal?.retryAfterS ?? 0) > 0);
});

test("a request that names an earlier attempt and no last event begins anew", async t => {
    const { caller } = await serve(
        [respond(["id: 1\ndata: a\n\n"])],
        { kind: "streaming", isResumable: true },
        { resumes: "earlier" },
        { origins: new UnknownOrigins() },
    );
    t.is(caller.ended, "complete");
});

test("an interrupted stream that is not resumable is aborted", async t => {
    const { caller, port } = await serve([respond(["id: 1\n\n"], true)], { kind: "streaming" });
    t.is(port.calls.length, 1);
    t.is(caller.ended, "broken");
});

test("a resumed stream that does not continue after the last event is aborted", async t => {
    const { caller } = await serve(
        [respond(["id: 1\n\nid: 2\n\n"], true), respond(["id: 1\n\n"])],
        { kind: "streaming", isResumable: true },
    );
    t.is(caller.events, "id: 1\n\nid: 2\n\n");
    t.is(caller.ended, "broken");
});

// Guards against an error that a caller who resumes its stream takes for the rest of it.
test("a stream that a caller resumes is not completed by a response that does not continue it", async t => {
    const { caller, port } = await serve(
        [respond(["error: unknown\n\n"]), respond(["id: 2\n\nid: 3\n\n"])],
        { kind: "streaming", isResumable: true },
        { lastEventId: 1, resumes: "earlier" },
    );
    t.is(caller.events, "id: 2\n\nid: 3\n\n");
    t.is(caller.ended, "complete");
    t.is(port.calls.length, 2);
});

test("a caller that disconnected before its request was accepted is not served", async t => {
    const { caller, port, lines } = await serve([respond(["whole"])], {}, {}, { disconnectsAfterMs: "before" });
    t.deepEqual([port.calls.length, caller.response], [0, undefined]);
    t.like(lines.at(-1), { event: "request ended", result: "caller_left", sends: 0 });
});

test("a request that was sent is refused at the route's timeout, and not reported as not run", async t => {
    const startedAtMs = performance.now();
    const { caller } = await serve([unresponsive], { timeoutMs: 80 });
    t.is(caller.refusal?.reason, "timedOut");
    t.true(performance.now() - startedAtMs < 300);
});

const stopping = (stop: "late" | "expired", outcome: Outcome, route: Partial<RelayRoute> = {}) =>
    serve([outcome], route, {}, { stop });

test("a request that arrives too late in a stop is refused before it is sent, and may be sent elsewhere at once", async t => {
    const { caller, port } = await stopping("late", respond(["whole"]));
    t.deepEqual(caller.refusal, { reason: "leaving", retryAfterS: 0.1 });
    t.is(port.calls.length, 0);
});

test("a request that still runs at the end of a stop gets a definite response, not a cut connection", async t => {
    const { caller, port } = await stopping("expired", unresponsive);
    t.is(caller.refusal?.reason, "timedOut");
    t.true(port.calls[0]?.signal.aborted);
});

test("a stream that still runs at the end of a stop does not look complete", async t => {
    const endless: Outcome = call => ({
        kind: "answer",
        head: HEAD,
        body: (async function*() {
            yield Buffer.from("id: 1\n\n");
            await new Promise((_, reject) => call.signal.addEventListener("abort", () => reject(new Error("aborted"))));
        })(),
    });
    const { caller } = await stopping("expired", endless, { kind: "streaming" });
    t.is(caller.events, "id: 1\n\n");
    t.is(caller.ended, "broken");
});

test("the call to the target is aborted when the caller disconnects", async t => {
    const { caller, port } = await serve([unresponsive], {}, {}, { disconnectsAfterMs: 30 });
    t.true(port.calls[0]?.signal.aborted);
    t.is(caller.refusal, undefined);
});

class RecordingGate extends BudgetGate {
    readonly settled: number[] = [];

    override hold(): Promise<BudgetDecision> {
        return Promise.resolve({ kind: "held", hold: { settle: used => this.settled.push(used) } });
    }
}

const GENERATION = { generation: { promptTokens: 100, maxOutputTokens: 50, parts: [] } };

/** Refuses every request. */
class ClosedGate extends RequestGate {
    override enter(): Promise<GatePass | GateRefusal> {
        return Promise.resolve({ refusal: { reason: "overloaded", retryAfterS: 0.3 }, decidedBy: { queued: 7 } });
    }

    override close(): void {
        // Nothing waits.
    }
}

/** Lets requests pass, and has no room after the first send until a request has waited once more. */
class NarrowGate extends RequestGate {
    readonly steps: string[] = [];

    override enter(): GatePass {
        return {
            waitedMs: 5,
            hasRoomAt: () => !this.steps.includes("sent") || this.steps.includes("waited"),
            recordSent: () => void this.steps.push("sent"),
            waitAgain: hasTarget => {
                this.steps.push("waited");
                return Promise.resolve(hasTarget());
            },
            getRetryAfterS: () => 0.2,
            release: () => void this.steps.push("released"),
        };
    }

    override close(): void {
        // Nothing waits.
    }
}

// Guards against the only other send of a request being spent on a target that is full as well.
test("a request that a full target rejected waits for another target with room", async t => {
    const gate = new NarrowGate();
    const { caller, lines } = await serve([full, respond(["whole"])], {}, {}, { gate });
    t.is(caller.response?.body, "whole");
    t.deepEqual(gate.steps, ["sent", "waited", "sent", "released"]);
    t.is(lines.find(line => line.event === "request ended")?.["waitedMs"], 5);
});

// Guards against a wait of a request that no target may serve: its caller would get the same refusal later.
test("a request that all targets have rejected does not wait", async t => {
    const gate = new NarrowGate();
    const { caller } = await serve([full], { maxAttempts: 4 }, {}, { gate });
    t.is(caller.refusal?.reason, "noTarget");
    t.deepEqual(gate.steps, ["sent", "waited", "sent", "sent", "released"]);
});

test("a request that all targets rejected is told when to come back by the gate", async t => {
    const { caller } = await serve([full], {}, {}, { gate: new NarrowGate() });
    t.deepEqual(caller.refusal, { reason: "overloaded", retryAfterS: 0.2 });
});

test("a request that the gate refuses is not sent, costs nothing, and its decision is logged", async t => {
    const budgets = new RecordingGate();
    const opts = { budgets, gate: new ClosedGate() };
    const generation = { promptTokens: 100, maxOutputTokens: 50, parts: [] };
    const { caller, port, lines } = await serve([respond(["whole"])], {}, { generation }, opts);
    t.deepEqual(caller.refusal, { reason: "overloaded", retryAfterS: 0.3 });
    t.is(port.calls.length, 0);
    t.deepEqual(budgets.settled, [0]);
    t.is(lines.find(line => line.event === "request refused")?.["queued"], 7);
});

test("a budget is charged for the prompt and the events that were relayed", async t => {
    const gate = new RecordingGate();
    await serve([respond(["id: 1\n\nid: 2\n\n"])], { kind: "streaming" }, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [110]);
});

test("a budget is charged for the larger events where their size changes under a running stream", async t => {
    const settled = await Promise.all([1, 9].map(async laterEventTokens => {
        const gate = new RecordingGate();
        const opts = { budgets: gate, laterEventTokens };
        await serve([respond(["id: 1\n\nid: 2\n\n"])], { kind: "streaming" }, GENERATION, opts);
        return gate.settled;
    }));
    t.deepEqual(settled, [[110], [118]]);
});

test("a budget is charged for the output of a generation that is not streamed", async t => {
    const gate = new RecordingGate();
    await serve([respond(["whole"])], {}, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [150]);
});

test("a budget is not charged for comments of a stream", async t => {
    const gate = new RecordingGate();
    await serve([respond([": ping\n\n", "id: 1\n\n: ping\n\n"])], { kind: "streaming" }, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [105]);
});

test("a prompt is charged once if its stream was resumed", async t => {
    const gate = new RecordingGate();
    const outcomes = [respond(["id: 1\n\n"], true), respond(["id: 2\n\n"])];
    await serve(outcomes, { kind: "streaming", isResumable: true }, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [110]);
});

test("a budget is charged for nothing where the caller gets no part of an answer", async t => {
    const streaming = { kind: "streaming" } as const;
    const gate = new RecordingGate();
    const noRepeat = { ...streaming, maxAttempts: 1 };
    await serve([failing], noRepeat, GENERATION, { budgets: gate });
    await serve([respond(["error"], false, 500)], noRepeat, GENERATION, { budgets: gate });
    await serve([respond(["id: 1\n"], true)], noRepeat, GENERATION, { budgets: gate });
    await serve([unresponsive], noRepeat, GENERATION, { budgets: gate, disconnectsAfterMs: 30 });
    t.deepEqual(gate.settled, [0, 0, 0, 0]);
});

test("a budget is charged for what was relayed of a stream that broke off", async t => {
    const gate = new RecordingGate();
    await serve([respond(["id: 1\n\n"], true)], { kind: "streaming", maxAttempts: 1 }, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [105]);
});

test("nothing is charged for a request that did not run", async t => {
    const gate = new RecordingGate();
    await serve([full], { kind: "streaming", maxAttempts: 1 }, GENERATION, { budgets: gate });
    t.deepEqual(gate.settled, [0]);
});

test("a request refused by an overloaded instance is not sent, costs nothing and gets a retry-after time", async t => {
    const gate = new RecordingGate();
    const { caller, port } = await serve([full], { kind: "streaming" }, GENERATION, {
        budgets: gate,
        overloadedForS: 1,
    });
    t.deepEqual(caller.refusal, { reason: "overloaded", retryAfterS: 1 });
    t.deepEqual(gate.settled, [0]);
    t.is(port.calls.length, 0);
});

class RefusingGate extends BudgetGate {
    constructor(private readonly decision: BudgetDecision) {
        super();
    }

    override hold(): Promise<BudgetDecision> {
        return Promise.resolve(this.decision);
    }
}

test("a request that would be decided by an outdated view is refused as not run, not as unknown", async t => {
    const { caller, port } = await serve(
        [full],
        {},
        { path: "/no-such-route/" },
        { viewIsOutdated: true },
    );
    t.deepEqual(caller.refusal, { reason: "viewOutdated", retryAfterS: 0.5 });
    t.is(port.calls.length, 0);
});

test("a request is not sent again by a view that has become outdated since its first send", async t => {
    const outdate: Outcome = (_call, _directory, view) => {
        view.isOutdated = true;
        return { kind: "failed", cause: "reset" };
    };
    const { caller, port } = await serve([outdate, respond(["whole"])]);
    t.is(port.calls.length, 1);
    t.is(caller.refusal?.reason, "targetFailed");
});

test("an overloaded instance refuses a team without tokens by its budget", async t => {
    const gate = new RefusingGate({ kind: "exhausted" });
    const { caller } = await serve([full], {}, GENERATION, { budgets: gate, overloadedForS: 1 });
    t.is(caller.refusal?.reason, "budgetExhausted");
});

/** A gate that decides only after the request's time has ended. */
class LateGate extends RecordingGate {
    override async hold(): Promise<BudgetDecision> {
        await sleep(2 * SHORT_WAIT_MS);
        return await super.hold();
    }
}

test("a request whose time ends while its budget is decided is refused at once, is not sent and costs nothing", async t => {
    const gate = new LateGate();
    const startedAtMs = performance.now();
    const req = { ...GENERATION, arrivedAtMs: startedAtMs, waitsMs: SHORT_WAIT_MS };
    const { caller, port } = await serve([], {}, req, { budgets: gate });
    t.true(performance.now() - startedAtMs < 2 * SHORT_WAIT_MS);
    t.like(caller.refusal, { reason: "timedOutUnsent" });
    t.deepEqual(port.calls, []);
    await sleep(2 * SHORT_WAIT_MS);
    t.deepEqual(gate.settled, [0]);
});

test("a request that no target can serve is refused at once, not after its budget", async t => {
    const gate = new LateGate();
    const startedAtMs = performance.now();
    const { caller } = await serve([], {}, GENERATION, { budgets: gate, versions: [] });
    t.true(performance.now() - startedAtMs < 2 * SHORT_WAIT_MS);
    t.deepEqual(caller.refusal, { reason: "noTarget", retryAfterS: 0.5 });
    await sleep(2 * SHORT_WAIT_MS);
    t.deepEqual(gate.settled, [0]);
    const exhausted = await serve([], {}, GENERATION, {
        budgets: new RefusingGate({ kind: "exhausted" }),
        versions: [],
    });
    t.is(exhausted.caller.refusal?.reason, "budgetExhausted");
});

test("an exhausted budget and an unavailable budget are refused with different reasons", async t => {
    const exhausted = await serve([full], {}, GENERATION, { budgets: new RefusingGate({ kind: "exhausted" }) });
    t.is(exhausted.caller.refusal?.reason, "budgetExhausted");
    const decision = { kind: "unavailable", retryAfterS: 1, cause: "away" } as const;
    const unavailable = await serve([full], {}, GENERATION, { budgets: new RefusingGate(decision) });
    t.deepEqual(unavailable.caller.refusal, { reason: "budgetUnavailable", retryAfterS: 1 });
    t.is(unavailable.port.calls.length, 0);
});

test("each request logs one line at its end, with the values that decided it", async t => {
    const { lines } = await serve([failing, respond(["whole"])]);
    const [end, ...others] = lines.filter(({ event }) => event.startsWith("request "));
    t.deepEqual(others, []);
    t.like(end, { event: "request ended", request: "request-1", result: "answered", team: "team-1", sends: 2 });
    t.is(typeof end?.["target"], "string");
    const { lines: refused } = await serve([full], { maxAttempts: 1 });
    t.like(refused.at(-1), { event: "request refused", reason: "overloaded", team: "team-1", sends: 1 });
});

test("the log line of a lost send tells the shared prompt parts and whether the answer had begun", async t => {
    const part = (id: string): { readonly id: string; readonly tokens: number; } => ({ id, tokens: 10 });
    const generation = { promptTokens: 100, maxOutputTokens: 50, parts: [part("a"), part("b"), part("own")] };
    const lost = await serve([respond([], true)], { kind: "streaming" }, { generation });
    t.like(lost.lines[0], { event: "send without answer", parts: "a b", events: 0 });
    t.deepEqual(lost.endsBeforeAnswer, ["service-1"]);
    const cut = await serve([respond(["id: 1\n\n"], true)], { kind: "streaming" }, { generation });
    t.like(cut.lines[0], { event: "send without answer", parts: "a b", events: 1 });
    t.deepEqual(cut.endsBeforeAnswer, []);
});

test("the log lines of lost sends of one request tell the same identity, whatever their ids", async t => {
    const lose = async (req: Partial<RelayRequest>): Promise<unknown> => {
        const { lines } = await serve([failing], { kind: "non_idempotent" }, req);
        return lines[0]?.["whole"];
    };
    const first = await lose({ id: "request-1", body: Buffer.from("x") });
    t.regex(String(first), /^request:[0-9a-f]{32}$/);
    t.is(await lose({ id: "request-2", body: Buffer.from("x") }), first);
    const others = [{ body: Buffer.from("y") }, { body: Buffer.from("x"), method: "POST" }, {
        body: Buffer.from("x"),
        path: "/a/c",
    }];
    for (const other of others) {
        t.not(await lose(other), first);
    }
});

class RecordingPartGate extends PartGate {
    readonly calls: string[] = [];

    constructor(private readonly mayRepeat: boolean, private blocked?: BlockedPart) {
        super();
    }

    override getBlockedPart(): BlockedPart | undefined {
        return this.blocked;
    }

    override recordBegun(): void {
        this.calls.push("begun");
    }

    override recordWhole(): void {
        this.calls.push("whole");
    }

    override recordLoss(_watched: WatchedRequest, _target: Target, { hasBegun }: RequestLoss): Promise<boolean> {
        this.calls.push(hasBegun ? "lost after begin" : "lost");
        return Promise.resolve(this.mayRepeat);
    }

    /** Blocks a part from now on. */
    block(blocked: BlockedPart): void {
        this.blocked = blocked;
    }
}

const serveThrough = (parts: PartGate, outcomes: readonly Outcome[], route: Partial<RelayRoute> = {}) =>
    serve(
        outcomes,
        { kind: "streaming", isResumable: true, ...route },
        GENERATION,
        { parts },
    );

test("a request with a quarantined part is refused as not run, and never sent", async t => {
    const parts = new RecordingPartGate(true, { part: "a", retryAfterS: 40 });
    const { caller, port, lines } = await serveThrough(parts, [respond(["id: 1\n\n"])]);
    t.deepEqual(caller.refusal, { reason: "partQuarantined", retryAfterS: 40 });
    t.is(port.calls.length, 0);
    t.like(lines.at(-1), { event: "request refused", reason: "partQuarantined", part: "a" });
});

test("a request whose part is quarantined after its first send is not sent again", async t => {
    const parts = new RecordingPartGate(true);
    const blocking: Outcome = () => {
        parts.block({ part: "a", retryAfterS: 40 });
        return { kind: "not_run", reason: "full" };
    };
    const { caller, port, lines } = await serveThrough(parts, [blocking, respond(["id: 1\n\n"])]);
    t.is(port.calls.length, 1);
    t.deepEqual(caller.refusal, { reason: "partQuarantined", retryAfterS: 40 });
    t.like(lines.at(-1), { event: "request refused", part: "a", sends: 1 });
});

test("a request that was lost in a crash like others with its parts is not sent to a second target", async t => {
    const parts = new RecordingPartGate(false);
    const { caller, port } = await serveThrough(parts, [respond([], true), respond(["id: 1\n\n"])]);
    t.is(port.calls.length, 1);
    t.is(caller.refusal?.reason, "targetFailed");
    t.deepEqual(parts.calls, ["lost"]);
});

// A first event proves nothing: a request may crash its targets after it.
test("a stream that breaks after its first event accuses its parts, and only a whole one proves them sound", async t => {
    const parts = new RecordingPartGate(true);
    const { caller } = await serveThrough(parts, [respond(["id: 1\n\n"], true), respond(["id: 2\n\n"])]);
    t.is(caller.ended, "complete");
    t.deepEqual(parts.calls, ["begun", "lost after begin", "whole"]);
});

test("a stream that broke in a crash like others of the request before is not continued", async t => {
    const parts = new RecordingPartGate(false);
    const { caller, port } = await serveThrough(parts, [respond(["id: 1\n\n"], true), respond(["id: 2\n\n"])]);
    t.is(port.calls.length, 1);
    t.is(caller.ended, "broken");
    t.deepEqual(parts.calls, ["begun", "lost after begin"]);
});

test("an error answer of a target neither proves nor accuses the parts of its request", async t => {
    const parts = new RecordingPartGate(true);
    await serveThrough(parts, [respond(["error"], false, 500)], { maxAttempts: 1 });
    t.deepEqual(parts.calls, []);
});

test("a stream without a length that ends before its first event is lost, not complete", async t => {
    const parts = new RecordingPartGate(true);
    const ended: Outcome = () => ({ kind: "answer", head: { ...HEAD, isFramed: false }, body: createBody([]) });
    const { caller, port } = await serveThrough(parts, [ended, respond(["id: 1\n\n"])]);
    t.is(port.calls.length, 2);
    t.is(caller.events, "id: 1\n\n");
    t.deepEqual(parts.calls, ["lost", "begun", "whole"]);
});
