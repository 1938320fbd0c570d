import type { RunRequest } from "@ospreyreel/stand-ins";
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

const createRun = (id: string): RunRequest => ({
    id,
    team: "team-1",
    path: "/model/x",
    body: "",
    waitsMs: 1,
    hadKey: false,
    target: "model-1",
    parts: [],
    atMs: LONG_MS + 1,
    end: undefined,
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
