import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnswer, PathFleet, type PathMember, TARGET } from "../fixtures/path-fleet.js";
import { ConnectCrashCheck } from "../quarantine/connect-crash-check.js";
import type { TargetOutcome } from "../targets/target-port.js";

/** Time in which a cut instance tries its own connection again, in milliseconds. */
const RESTORE_MS = 2_000;

/** Callers leave after a gap of two seconds. */
const PAUSE_MS = 1_900;

const createSlowBody = async function*(chunks: readonly string[], pauseMs: number): AsyncGenerator<Buffer> {
    for (const chunk of chunks) {
        await sleep(pauseMs);
        yield Buffer.from(chunk);
    }
};

/** An answer with a pause before each chunk. */
const createSlowAnswer = (chunks: readonly string[], pauseMs: number): TargetOutcome => ({
    kind: "answer",
    head: { status: 200, headers: [], isFramed: true },
    body: createSlowBody(chunks, pauseMs),
});

const start = (count = 3) => {
    const fleet = new PathFleet(count);
    const [cut, second, third] = fleet.members;
    if (cut === undefined || second === undefined || third === undefined) {
        throw new Error("no instances");
    }
    cut.direct.isCut = true;
    return { fleet, cut, second, third };
};

const countCalls = (members: readonly PathMember[]): number =>
    members.reduce((sum, { direct }) => sum + direct.calls.length, 0);

test("a request at an instance that is cut off from its target is sent once, by a peer", async t => {
    const { fleet, cut } = start();
    const { text, outcome } = await fleet.send(cut, { team: "team-1", afterEvent: 4 });
    t.is(text, "whole");
    t.like(outcome, { kind: "answer", head: { status: 200 } });
    t.is(countCalls(fleet.members), 1);
    const call = fleet.members.flatMap(({ direct }) => direct.calls)[0];
    t.like(call, { team: "team-1", afterEvent: 4, isRepeatable: true });
});

test("instances that are all cut off do not pass a request to and fro", async t => {
    const { fleet, cut, second, third } = start();
    second.direct.isCut = true;
    third.direct.isCut = true;
    const { outcome } = await fleet.send(cut);
    t.is(outcome.kind, "not_sent");
    t.is(countCalls(fleet.members), 0);
});

test("a peer that is cut off as well is left out for one that is not", async t => {
    const { fleet, cut, second } = start();
    second.direct.isCut = true;
    for (let count = 0; count < 5; count++) {
        t.is((await fleet.send(cut)).text, "whole");
    }
});

test("a crashed target is not taken for one that only this instance cannot reach", async t => {
    const { fleet, cut, second, third } = start();
    fleet.hasCrashed = true;
    second.direct.isCut = true;
    third.direct.isCut = true;
    t.is((await fleet.send(cut)).outcome.kind, "not_sent");
    t.true(cut.paths.isDirect(TARGET));
});

test("a target that has just answered peers and crashed is reported as crashed", async t => {
    const { fleet, cut, second, third } = start();
    cut.direct.isCut = false;
    await Promise.all([cut, second, third].map(member => fleet.send(member)));
    fleet.hasCrashed = true;
    const refused = { ...TARGET, port: 1 };
    cut.directory.put(refused);
    const check = new ConnectCrashCheck({ isReachedByPeers: target => cut.paths.recordUnreachable(target) });
    t.true(await check.hasCrashed(refused));
});

test("an instance that is cut off does not report its targets as crashed", async t => {
    const { cut } = start();
    const refused = { ...TARGET, port: 1 };
    cut.directory.put(refused);
    const check = new ConnectCrashCheck({ isReachedByPeers: target => cut.paths.recordUnreachable(target) });
    t.false(await check.hasCrashed(refused));
});

test("a request that may run once is not sent again when the peer that sent it is lost", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => new Promise(() => undefined);
    });
    const sending = fleet.send(cut, { isRepeatable: false, leftMs: 50 });
    await sleep(20);
    const sender = [second, third].find(({ direct }) => direct.calls.length > 0);
    t.not(sender, undefined);
    if (sender !== undefined) {
        fleet.kill(sender);
    }
    t.is((await sending).outcome.kind, "failed");
    t.is(countCalls([second, third]), 1);
});

test("a response that breaks off at the peer breaks off for the caller", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => createAnswer(["a", "b"], new Error("reset"));
    });
    t.like(await fleet.send(cut), { text: "ab", cause: "reset" });
});

test("a response whose peer is lost breaks off for the caller", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => {
            const answer = createAnswer([]);
            const body = async function*(): AsyncGenerator<Buffer> {
                yield Buffer.from("a");
                await new Promise(() => undefined);
            };
            return answer.kind === "answer" ? { ...answer, body: body() } : answer;
        };
    });
    const sending = fleet.send(cut);
    await sleep(20);
    const sender = [second, third].find(({ direct }) => direct.calls.length > 0);
    if (sender !== undefined) {
        fleet.kill(sender);
    }
    t.like(await sending, { text: "a", cause: "the peer that forwards the response was lost" });
});

test("a request that may run once is sent by another peer where the first one was not reached", async t => {
    const { fleet, cut, second, third } = start();
    await fleet.send(cut);
    fleet.network.refuseLinks(second.hub);
    for (let count = 0; count < 5; count++) {
        t.is((await fleet.send(cut, { isRepeatable: false })).text, "whole");
    }
    t.is(countCalls([third, second]), 6);
});

const createEndlessAnswer = (first: string, onReturn: () => void = () => undefined): TargetOutcome => {
    const body = async function*(): AsyncGenerator<Buffer> {
        try {
            for (;;) {
                yield Buffer.from(first);
                await sleep(5);
            }
        }
        finally {
            onReturn();
        }
    };
    return { kind: "answer", head: { status: 200, headers: [], isFramed: true }, body: body() };
};

test("a response breaks off as soon as the link to the peer that forwards it is lost", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => createEndlessAnswer("a");
    });
    const sending = fleet.send(cut, { leftMs: 5_000 });
    await sleep(20);
    const sender = [second, third].find(({ direct }) => direct.calls.length > 0);
    t.not(sender, undefined);
    if (sender !== undefined) {
        fleet.network.loseLinks(sender.hub);
    }
    const ended = await Promise.race([sending, sleep(500, undefined)]);
    t.like(ended, { cause: "the peer that forwards the response was lost" });
});

test("a peer ends its send when it does not reach the instance that asked for it any more", async t => {
    const { fleet, cut, second, third } = start();
    let returned = 0;
    [second, third].forEach(({ direct }) => {
        direct.answer = () => createEndlessAnswer("a", () => returned += 1);
    });
    const caller = new AbortController();
    const sending = fleet.send(cut, { signal: caller.signal, leftMs: 5_000 });
    await sleep(20);
    fleet.network.refuseLinks(cut.hub);
    await sleep(100);
    t.is(returned, 1);
    t.is(second.forwardedSends.size + third.forwardedSends.size, 0);
    caller.abort();
    await sending;
});

test("a peer ends its send when the caller has left", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = call =>
            new Promise(resolve => {
                call.signal.addEventListener("abort", () => resolve({ kind: "failed", cause: "aborted" }));
            });
    });
    const caller = new AbortController();
    const sending = fleet.send(cut, { signal: caller.signal, leftMs: 5_000 });
    await sleep(20);
    caller.abort();
    t.is((await sending).outcome.kind, "failed");
    await sleep(20);
    t.is(second.forwardedSends.size + third.forwardedSends.size, 0);
});

// Operators of similar systems saw slow but sound streams cut.
test("a slow stream through a peer is passed on whole", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => createSlowAnswer(["id: 1\n\n", "id: 2\nda", "ta: x\n\n"], PAUSE_MS);
    });
    const { text, cause } = await fleet.send(cut, { leftMs: 20_000 });
    t.deepEqual([text, cause], ["id: 1\n\nid: 2\ndata: x\n\n", ""]);
});

// Operators of similar systems saw stalled streams that sent a byte now and then never end.
test("a stalled stream through a peer ends with the request's time, at both instances", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => createSlowAnswer(Array.from({ length: 200 }, () => "x"), 50);
    });
    const signal = AbortSignal.timeout(1_000);
    const startedAtMs = performance.now();
    const { text, cause } = await fleet.send(cut, { leftMs: 1_000, signal });
    t.is(cause, "the request's time has ended");
    t.true(text.length > 0 && text.length < 200, String(text.length));
    while (second.forwardedSends.size + third.forwardedSends.size > 0) {
        await sleep(10);
    }
    t.true(performance.now() - startedAtMs < 5_000);
});

test("a target that leaves gets nothing through a peer that knows it", async t => {
    const { fleet, cut, second, third } = start();
    await fleet.send(cut);
    [second, third].forEach(({ directory }) => directory.markLeaving(TARGET.id));
    t.is((await fleet.send(cut)).outcome.kind, "not_sent");
    t.is(countCalls(fleet.members), 1);
});

test("a target that tells a peer that it leaves gets nothing more, from either instance", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => ({ kind: "not_run", reason: "full", notes: { isLeaving: true } });
    });
    await fleet.send(cut);
    t.true(cut.directory.list()[0]?.target.leaving);
    const sender = [second, third].find(({ direct }) => direct.calls.length > 0);
    t.true(sender?.directory.list()[0]?.target.leaving);
});

test("a target gets nothing through a peer from which it wants none, and something through another", async t => {
    const { fleet, cut, second, third } = start();
    second.directory.list()[0]?.pause(performance.now() + 60_000);
    for (let count = 0; count < 5; count++) {
        t.is((await fleet.send(cut)).text, "whole");
    }
    t.is(countCalls([second]), 0);
    t.is(countCalls([third]), 5);
});

test("a pause that a target asked a peer for holds for that peer only", async t => {
    const { fleet, cut, second, third } = start();
    [second, third].forEach(({ direct }) => {
        direct.answer = () => ({ kind: "not_run", reason: "full", notes: { pauseMs: 60_000 } });
    });
    await fleet.send(cut);
    t.true(cut.directory.list()[0]?.isAccepting(performance.now()));
    const paused = [second, third].filter(({ directory }) =>
        (directory.list()[0]?.getPauseMs(performance.now()) ?? 0) > 0
    );
    t.is(paused.length, 1);
});

test("a peer that leaves, or has too much to do, sends nothing for others", async t => {
    const { fleet, cut, second, third } = start();
    second.isAccepting = false;
    for (let count = 0; count < 5; count++) {
        t.is((await fleet.send(cut)).text, "whole");
    }
    t.is(countCalls([second]), 0);
    t.is(countCalls([third]), 5);
});

test("an instance uses its own connections again after the cut", async t => {
    const { fleet, cut } = start();
    await fleet.send(cut);
    t.false(cut.paths.isDirect(TARGET));
    cut.direct.isCut = false;
    await sleep(RESTORE_MS);
    t.true(cut.paths.isDirect(TARGET));
    await fleet.send(cut);
    t.is(cut.direct.calls.length, 1);
});

test("failures from before a cut was noticed do not eject the target that peers reach", async t => {
    const { fleet, cut } = start();
    const [state] = cut.directory.list();
    const sentAtMs = performance.now();
    await fleet.send(cut);
    for (let count = 0; count < 5; count++) {
        state?.health.recordFailure(performance.now(), sentAtMs);
        state?.health.recordUnreachable(performance.now(), sentAtMs);
    }
    t.true(state?.health.isUsable(performance.now()));
});

test("a peer that knows of the evacuation of a target's zone sends nothing there for an instance that does not", async t => {
    const { fleet, cut, second, third } = start();
    second.isEvacuated = true;
    third.isEvacuated = true;
    t.is((await fleet.send(cut)).outcome.kind, "not_sent");
    t.is(countCalls(fleet.members), 0);
});
