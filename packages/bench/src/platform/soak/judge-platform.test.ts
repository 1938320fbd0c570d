import type { RunEnd, RunRequest } from "@ospreyreel/stand-ins";
import test from "ava";
import { MODEL_EVENTS } from "../platform-fleet.js";
import { FaultTimeline, STORE_PART } from "./fault-timeline.js";
import { ForwardLog } from "./forward-log.js";
import { HandoffLog } from "./handoff-log.js";
import { judgePlatform, type PlatformEvidence, type PlatformVerdict } from "./judge-platform.js";
import type { PlatformCall } from "./platform-call.js";

const CUT = "instance-0";
const PEER = "instance-1";

/** Longer than the time for which a disturbance excuses what comes after it, in milliseconds. */
const LONG_MS = 20_000;

const createStream = (id: string, words = ""): string =>
    [...Array(MODEL_EVENTS).keys()].map(at => `id: ${at + 1}\ndata: ${id}${words}\n\n`).join("");

const createCall = (change: Partial<PlatformCall> = {}): PlatformCall => ({
    kind: "model",
    id: "attempt-1",
    promptTokens: 1,
    paddingBytes: 0,
    instance: CUT,
    usedKeptConnection: false,
    httpVersion: "1.1",
    isFramed: true,
    readPauseMs: 0,
    sentAtMs: LONG_MS,
    bodySentAtMs: LONG_MS,
    headAtMs: LONG_MS + 10,
    endedAtMs: LONG_MS + 100,
    end: "answered",
    status: 200,
    body: createStream(change.id ?? "attempt-1"),
    resumed: undefined,
    retryAfterS: undefined,
    ...change,
});

const createRun = (id: string, end?: RunEnd): RunRequest => ({
    id,
    team: "team-1",
    path: "/model/x",
    body: "",
    waitsMs: 1,
    hadKey: false,
    target: "model-1",
    parts: [],
    atMs: LONG_MS + 1,
    end,
});

const judge = (change: Partial<PlatformEvidence> = {}): PlatformVerdict => {
    const { calls = [] } = change;
    const timeline = change.timeline ?? new FaultTimeline();
    timeline.addVersion({ modelTimeoutMs: 12_000, hasNewRoute: true });
    return judgePlatform({
        fleet: {
            ran: calls.map(({ id }) => createRun(id)),
            instances: [CUT, PEER].map(name => ({ name })) as unknown as PlatformEvidence["fleet"]["instances"],
        },
        timeline,
        calls,
        directoryAnswers: [],
        forwards: new ForwardLog(),
        handoffs: new HandoffLog(),
        handedOff: 0,
        rigStalls: 0,
        readiness: [],
        prepaid: 1_000_000,
        notRecovered: [],
        ...change,
    });
};

const createForwards = (request: string, peer: string): ForwardLog => {
    const forwards = new ForwardLog();
    forwards.read(JSON.stringify({ message: "send forwarded", context: { request, peer } }));
    return forwards;
};

test("an answer with something behind its last event, or with another word in it, is not whole", t => {
    const count = (body: string): number | undefined =>
        judge({ calls: [createCall({ body })] }).violations["answersNotWhole"];
    t.is(count(createStream("attempt-1")), 0);
    t.is(count(createStream("attempt-1", " v1")), 0);
    t.is(count(`${createStream("attempt-1")}id: 7`), 1);
    t.is(count(createStream("attempt-1").replace("attempt-1\n", "attempt-1 x\n")), 1);
    t.is(count(createStream("attempt-1", " v1 v1")), 1);
});

/** A stream as far as its event of a number. */
const createPart = (last: number): string => createStream("attempt-1").split(/(?=^id: )/m).slice(0, last).join("");

/** What is judged of a stream that ends as complete for its caller, by how the run of its target ended. */
const judgeEnd = (
    change: Partial<PlatformCall>,
    end?: RunEnd,
    timeline?: FaultTimeline,
): PlatformVerdict["violations"] => {
    const calls = [createCall(change)];
    const ran = calls.map(({ id }) => createRun(id, end));
    const instances = [] as unknown as PlatformEvidence["fleet"]["instances"];
    return judge({ calls, fleet: { ran, instances }, ...(timeline === undefined ? {} : { timeline }) }).violations;
};

test("a stream ends mistakenly where its last event is not the last one that its target would have sent", t => {
    for (const httpVersion of ["1.1", "1.0"] as const) {
        for (const how of ["crashed", "brokenOff", "disconnected", "complete"] as const) {
            for (const last of [0, 1, MODEL_EVENTS - 1]) {
                const { mistakenEnds, answersNotWhole } = judgeEnd(
                    { httpVersion, body: createPart(last) },
                    { atMs: LONG_MS, how },
                );
                t.deepEqual([mistakenEnds, answersNotWhole], [1, 1], `${httpVersion} ${how} ${last}`);
            }
        }
    }
    t.is(judgeEnd({ body: `${createPart(2)}id: 3\nda` })["mistakenEnds"], 1);
    t.is(judgeEnd({ kind: "plain", body: "answer to attem" })["mistakenEnds"], 1);
    t.is(judgeEnd({ body: createPart(MODEL_EVENTS) })["mistakenEnds"], 0);
    t.is(judgeEnd({ end: "cut", body: createPart(2) })["mistakenEnds"], 0);
    t.is(judgeEnd({ kind: "plain", body: "answer to attempt-1" })["mistakenEnds"], 0);
});

test("a resumed stream ends mistakenly before the last event of its target as well", t => {
    const resumed = createCall({ end: "cut", body: createPart(2) });
    const rest = createPart(MODEL_EVENTS).slice(createPart(2).length);
    t.is(judgeEnd({ resumed, body: rest })["mistakenEnds"], 0);
    t.is(judgeEnd({ resumed, body: rest.slice(0, rest.lastIndexOf("id: ")) })["mistakenEnds"], 1);
    t.is(judgeEnd({ resumed, body: "" })["mistakenEnds"], 1);
    t.is(judgeEnd({ resumed: { ...resumed, body: createPart(MODEL_EVENTS) }, body: "" })["mistakenEnds"], 0);
});

test("a shorter stream that its target ended in order, without framing, is whole, and none of it may be lost", t => {
    const short = { atMs: LONG_MS, how: "complete", lastEvent: 3 } as const;
    const { mistakenEnds, answersNotWhole } = judgeEnd({ body: createPart(3) }, short);
    t.deepEqual([mistakenEnds, answersNotWhole], [0, 0]);
    t.is(judgeEnd({ body: createPart(2) }, short)["mistakenEnds"], 1);
    t.is(judgeEnd({ end: "cut", body: createPart(3) }, short)["lost"], 1);
});

test("a stream that its target broke off is not lost, and one that is cut without that is", t => {
    const cut = { end: "cut", body: createPart(3) } as const;
    t.is(judgeEnd(cut, { atMs: LONG_MS, how: "brokenOff" })["lost"], 0);
    t.is(judgeEnd(cut, { atMs: LONG_MS, how: "disconnected" })["lost"], 1);
});

test("only callers of HTTP/1.0 whose own instance is killed may take a part of an answer for a whole one", t => {
    const count = (change: Partial<PlatformCall>, part = CUT, atMs = LONG_MS + 50): readonly unknown[] => {
        const timeline = new FaultTimeline();
        timeline.kill(part, atMs);
        const { mistakenEnds, answersNotWhole } = judgeEnd({ body: createPart(3), ...change }, undefined, timeline);
        return [mistakenEnds, answersNotWhole];
    };
    t.deepEqual(count({ httpVersion: "1.0" }), [0, 0]);
    t.deepEqual(count({ httpVersion: "1.1" }), [1, 1]);
    t.deepEqual(count({ httpVersion: "1.0" }, PEER), [1, 1]);
    t.deepEqual(count({ httpVersion: "1.0" }, "model-1"), [1, 1]);
    // The head is on its way to the caller when the instance is killed.
    t.deepEqual(count({ httpVersion: "1.0" }, CUT, LONG_MS + 5), [0, 0]);
    t.deepEqual(count({ httpVersion: "1.0" }, CUT, LONG_MS + 150), [1, 1]);
    t.deepEqual(count({ httpVersion: "1.0" }, CUT, LONG_MS - 50), [1, 1]);
    t.deepEqual(count({ httpVersion: "1.0", body: `${createPart(3)}x` }), [1, 1]);
});

test("a cut answer is lost unless the instance that sent it for the caller's was disturbed itself", t => {
    const cut = createCall({ end: "cut", body: "" });
    const disturbed = (part: string): FaultTimeline => {
        const timeline = new FaultTimeline();
        timeline.addDisturbance([part], LONG_MS, LONG_MS + 50);
        return timeline;
    };
    const count = (timeline: FaultTimeline, forwards = new ForwardLog()): number | undefined =>
        judge({ calls: [cut], timeline, forwards }).violations["lost"];
    t.is(count(disturbed(PEER)), 1);
    t.is(count(disturbed(PEER), createForwards("attempt-2", PEER)), 1);
    t.is(count(disturbed(PEER), createForwards("attempt-1", PEER)), 0);
    t.is(count(disturbed("instance-2"), createForwards("attempt-1", PEER)), 1);
});

const createHandoffs = (helper: string): HandoffLog => {
    const handoffs = new HandoffLog();
    handoffs.read(CUT, JSON.stringify({ message: "connections handed off", context: { helper } }), LONG_MS);
    return handoffs;
};

test("a stream that broke off with the killed helper of its instance is not lost, and a request without an answer is", t => {
    const begun = createCall({ kind: "fixed", end: "cut", body: "" });
    const createKill = (part: string): FaultTimeline => {
        const timeline = new FaultTimeline();
        timeline.kill(part, LONG_MS + 50);
        timeline.addDisturbance([part], LONG_MS + 50, LONG_MS + 60);
        return timeline;
    };
    const count = (call: PlatformCall, timeline: FaultTimeline, handoffs = createHandoffs(PEER)): number | undefined =>
        judge({ calls: [call], timeline, handoffs }).violations["lost"];
    t.is(count(begun, createKill(PEER)), 0);
    t.is(count({ ...begun, headAtMs: undefined }, createKill(PEER)), 1);
    t.is(count({ ...begun, kind: "plain" }, createKill(PEER)), 1);
    t.is(count({ ...begun, kind: "plain", isFramed: false }, createKill(PEER)), 1);
    t.is(count({ ...begun, kind: "plain", isFramed: false, headAtMs: undefined }, createKill(PEER)), 1);
    t.is(count({ ...begun, kind: "plain", isFramed: false }, createKill("instance-2")), 1);
    t.is(count(begun, createKill(PEER), new HandoffLog()), 1);
    t.is(count(begun, createKill("instance-2")), 1);
    t.is(count(begun, new FaultTimeline()), 1);
});

test("a cut answer is lost though its instance did not reach another one", t => {
    const timeline = new FaultTimeline();
    timeline.part([CUT, PEER]);
    const calls = [createCall({ end: "cut", body: "" })];
    t.is(judge({ calls, timeline, handoffs: createHandoffs(PEER) }).violations["lost"], 1);
    const disturbed = new FaultTimeline();
    disturbed.disturb([CUT]);
    t.is(judge({ calls, timeline: disturbed }).violations["lost"], 0);
});

test("an answer is overdue half a second after the deadline, and the time that the way to the instance takes", t => {
    const count = (change: Partial<PlatformCall>, callerPathMs = 0): number | undefined => {
        const call = createCall({ kind: "plain", endedAtMs: LONG_MS + 4_600, ...change });
        const probe = { instance: CUT, askedAtMs: LONG_MS, atMs: LONG_MS + 1, status: 200, callerPathMs };
        return judge({ calls: [call], readiness: [probe] }).violations["overdue"];
    };
    t.is(count({ end: "overdue" }), 1);
    t.is(count({ end: "answered" }), 1);
    t.is(count({ end: "cut" }), 1);
    t.is(count({ end: "callerLeft" }), 0);
    t.is(count({ end: "answered", endedAtMs: LONG_MS + 4_500 }), 0);
    t.is(count({ end: "answered", readPauseMs: 200 }), 0);
    t.is(count({ end: "overdue" }, 50), 1);
    t.is(count({ end: "overdue" }, 150), 0);
});

test("a request on a route that was added is denied unless the store was away when the instance had to learn of it", t => {
    const count = (change: Partial<PlatformCall>, timeline = new FaultTimeline()): number | undefined => {
        timeline.addVersion({ modelTimeoutMs: 12_000, hasNewRoute: true });
        return judge({ calls: [createCall({ kind: "new", status: 404, ...change })], timeline }).violations["denied"];
    };
    const createOutage = (): FaultTimeline => {
        const timeline = new FaultTimeline();
        timeline.addDisturbance([STORE_PART], LONG_MS - 1_000, LONG_MS - 500);
        return timeline;
    };
    t.is(count({}), 1);
    t.is(count({}, createOutage()), 0);
    t.is(count({ status: 403 }, createOutage()), 1);
    t.is(count({ kind: "plain" }, createOutage()), 1);
});

test("callers of an instance that is cut off are served worse, unless it was told to stop", t => {
    const calls = [...Array(80).keys()].map(at =>
        createCall({
            id: `attempt-${at}`,
            instance: at % 2 === 0 ? CUT : PEER,
            status: at % 2 === 0 ? 503 : 200,
            retryAfterS: 1,
        })
    );
    const timeline = new FaultTimeline();
    timeline.cutOffs.push({ instances: [CUT], fromMs: 0, toMs: 2 * LONG_MS });
    const count = (): number | undefined => judge({ calls, timeline }).violations["cutOffServedWorse"];
    t.is(count(), 1);
    // An absence that ended before the calls excuses nothing.
    timeline.beginAbsence(CUT)();
    t.is(count(), 1);
    timeline.beginAbsence(CUT);
    t.is(count(), 0);
});
