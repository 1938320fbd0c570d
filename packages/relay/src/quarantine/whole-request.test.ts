import test from "ava";
import { createRequest } from "../fixtures/plain-protocol.js";
import { createPlainRequest, createPromptRequest, createStart, QuarantineFleet } from "../fixtures/quarantine-fleet.js";
import { WatchedRequest } from "./watched-request.js";

const HOUR_MS = 3_600_000;

/** Time after the third crash in which requests are refused that crash targets after the first event, in milliseconds. */
const BEGUN_WAIT_MS = 3_000;

const DEADLY = createPlainRequest("deadly");

const countRefusing = (fleet: QuarantineFleet, req: WatchedRequest): number =>
    fleet.members.filter(({ parts }) => parts.getBlockedPart(req) !== undefined).length;

/** Three crashes by one request, each through another member. */
const crashThrice = async (fleet: QuarantineFleet, req: WatchedRequest): Promise<void> => {
    for (let crashes = 0; crashes < 3; crashes++) {
        await fleet.crash([[crashes, req]], 40);
        await fleet.advance(500);
    }
};

test("a request without a prompt that crashes its targets is refused at all instances after three crashes", async t => {
    const fleet = new QuarantineFleet(8);
    await crashThrice(fleet, DEADLY);
    t.is(countRefusing(fleet, createPlainRequest("deadly", "another id")), 8);
    t.is(countRefusing(fleet, createPlainRequest("sound")), 0);
    t.is(fleet.get(5).parts.getBlockedPart(DEADLY)?.part, DEADLY.whole);
});

test("a request that goes from target to target within a tenth of a second is refused after three crashes", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 3; crashes++) {
        await fleet.advance(30);
        await fleet.crash([[crashes, DEADLY]], 30);
    }
    await fleet.advance(100);
    t.is(countRefusing(fleet, DEADLY), 8);
});

test("targets that are lost together while they run copies of one request convict it of one crash", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 6; crashes++) {
        await fleet.crash([[crashes, DEADLY]], 200);
        await fleet.advance(10);
    }
    await fleet.advance(1_000);
    t.is(countRefusing(fleet, DEADLY), 0);
});

test("sound requests that are lost beside a deadly one are sent again and not refused", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 3; crashes++) {
        const sound = [1, 2, 3].map(index => createPlainRequest(`sound-${crashes}-${index}`));
        const mayRepeat = await fleet.crash([[0, DEADLY], ...sound.map((req, index) => [index + 1, req] as const)], 40);
        t.deepEqual(mayRepeat.slice(1), [true, true, true]);
        await fleet.advance(500);
        t.deepEqual(sound.map(req => countRefusing(fleet, req)), [0, 0, 0]);
    }
    t.is(countRefusing(fleet, DEADLY), 8);
});

test("an answer to the same request at another instance refutes its crashes", async t => {
    const fleet = new QuarantineFleet(8);
    await fleet.crash([[0, DEADLY]], 40);
    await fleet.advance(500);
    fleet.get(4).parts.recordBegun(createPlainRequest("deadly", "another id"));
    for (let crashes = 0; crashes < 2; crashes++) {
        await fleet.advance(500);
        await fleet.crash([[crashes, DEADLY]], 40);
    }
    await fleet.advance(1_000);
    t.is(countRefusing(fleet, DEADLY), 0);
});

test("the prompt parts of a request that crashes its targets go on", async t => {
    const fleet = new QuarantineFleet(8);
    const deadly = createPromptRequest("deadly", ["root", "topic"]);
    fleet.members.forEach(({ parts }) => parts.recordBegun(createPromptRequest("before", ["root", "topic"])));
    await fleet.advance(1_000);
    await crashThrice(fleet, deadly);
    await fleet.advance(2_000);
    t.is(countRefusing(fleet, deadly), 8);
    t.is(countRefusing(fleet, createPromptRequest("sound", ["root", "topic"])), 0);
});

test("a prompt part that crashes targets is refused though one of its requests came again", async t => {
    const fleet = new QuarantineFleet(8);
    fleet.members.forEach(({ parts }) => parts.recordBegun(createPromptRequest("before", ["root"])));
    await fleet.advance(1_000);
    await crashThrice(fleet, createPromptRequest("again", ["root", "deadly"]));
    await fleet.advance(2_000);
    t.is(countRefusing(fleet, createPromptRequest("other", ["root", "deadly"])), 8);
    t.is(countRefusing(fleet, createPromptRequest("sound", ["root", "other"])), 0);
});

test("a request that keeps crashing its targets is tried three times in a day", async t => {
    const fleet = new QuarantineFleet(3);
    await crashThrice(fleet, DEADLY);
    let tries = 0;
    for (let elapsedMs = 0; elapsedMs < 24 * HOUR_MS; elapsedMs += 60_000) {
        await fleet.advance(60_000);
        for (const index of fleet.members.keys()) {
            if (fleet.get(index).parts.getBlockedPart(DEADLY) === undefined) {
                tries += 1;
                await fleet.crash([[index, DEADLY]], 40);
                await fleet.advance(300);
            }
        }
    }
    t.true(tries <= 3, `${tries} tries`);
    t.true(tries > 0);
});

test("answers to large requests are remembered as a whole only once one is suspected", async t => {
    const fleet = new QuarantineFleet(2);
    const large = new WatchedRequest(createRequest({ body: Buffer.alloc(1_000_000) }), "team-1");
    const [first] = fleet.members;
    first?.parts.recordBegun(large);
    const getAnswered = async () =>
        await fleet.get(1).hub.request(
            fleet.get(0).hub.self().incarnation,
            "parts.answered",
            { parts: [large.whole] },
            100,
        );
    t.deepEqual((await getAnswered()).answered, []);
    await first?.parts.recordLoss(createPlainRequest("lost"), createStart("t", 1), { ranMs: 0, hasBegun: false });
    first?.parts.recordBegun(large);
    t.is((await getAnswered()).answered.length, 1);
});

test("the same path and body of another team, host or method is another request", t => {
    const base = createRequest({ body: Buffer.from("x") });
    const { whole } = new WatchedRequest(base, "team-1");
    t.is(new WatchedRequest({ ...base, id: "other" }, "team-1").whole, whole);
    t.not(new WatchedRequest(base, "team-2").whole, whole);
    t.not(new WatchedRequest({ ...base, host: "other" }, "team-1").whole, whole);
    t.not(new WatchedRequest({ ...base, method: "PUT" }, "team-1").whole, whole);
    t.not(new WatchedRequest({ ...base, body: Buffer.from("y") }, "team-1").whole, whole);
});

/** One stream that crashes its target after its first event, through one member; returns which of the others may be continued. */
const crashAfterBegin = async (
    fleet: QuarantineFleet,
    member: number,
    deadly: WatchedRequest,
    others: readonly WatchedRequest[],
) => {
    const lost = [deadly, ...others].map((req, index) => [member + index, req] as const);
    lost.forEach(([at, req]) => fleet.get(at).parts.recordBegun(req));
    const mayRepeat = await fleet.crash(lost, 300, true);
    await fleet.advance(500);
    return mayRepeat;
};

// Guards against requests whose own first event counts as proof that they are sound.
test("a request that crashes its targets after its first event is refused at all instances after three crashes", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 3; crashes++) {
        t.is(countRefusing(fleet, DEADLY), 0);
        await crashAfterBegin(fleet, crashes, DEADLY, []);
    }
    await fleet.advance(BEGUN_WAIT_MS);
    t.is(countRefusing(fleet, createPlainRequest("deadly", "another id")), 8);
    t.is(countRefusing(fleet, createPlainRequest("sound")), 0);
});

test("a stream that was in a second crash after its first event is not continued at a third target", async t => {
    const fleet = new QuarantineFleet(8);
    t.deepEqual(await crashAfterBegin(fleet, 0, DEADLY, []), [true]);
    t.deepEqual(await crashAfterBegin(fleet, 1, DEADLY, []), [false]);
});

test("sound streams that break on crashing targets are continued and not refused, whatever they share with each other", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 6; crashes++) {
        const sound = [1, 2, 3].map(index => createPromptRequest(`sound-${crashes}-${index}`, ["root", "topic"]));
        const mayRepeat = await crashAfterBegin(fleet, crashes, DEADLY, sound);
        t.deepEqual(mayRepeat.slice(1), [true, true, true]);
        fleet.get(crashes + 4).parts.recordWhole(createPromptRequest(`whole-${crashes}`, ["root", "topic"]));
        t.deepEqual(sound.map(req => countRefusing(fleet, req)), [0, 0, 0]);
    }
    await fleet.advance(BEGUN_WAIT_MS);
    t.is(countRefusing(fleet, DEADLY), 8);
});

// Guards against sound requests that are refused since all of them were lost with the deadly one, and none could be whole meanwhile.
test("sound requests that look alike and are all lost in three crashes are not refused once the targets are back", async t => {
    const fleet = new QuarantineFleet(8);
    const alike = (id: string): WatchedRequest => createPromptRequest(id, ["root", "topic"]);
    for (let crashes = 0; crashes < 4; crashes++) {
        await crashAfterBegin(fleet, crashes, DEADLY, [alike(`a-${crashes}`), alike(`b-${crashes}`)]);
    }
    fleet.get(6).parts.recordWhole(alike("whole"));
    await fleet.advance(BEGUN_WAIT_MS);
    t.is(countRefusing(fleet, alike("next")), 0);
    t.is(countRefusing(fleet, DEADLY), 8);
});

test("a part that crashes targets after the first event is refused, and the parts that it was in flight with are not", async t => {
    const fleet = new QuarantineFleet(8);
    fleet.members.forEach(({ parts }) => parts.recordWhole(createPromptRequest("before", ["root"])));
    for (let crashes = 0; crashes < 3; crashes++) {
        const deadly = createPromptRequest(`deadly-${crashes}`, ["root", "deadly"]);
        await crashAfterBegin(fleet, crashes, deadly, [createPromptRequest(`sound-${crashes}`, ["root", "topic"])]);
        fleet.get(crashes + 4).parts.recordWhole(createPromptRequest(`whole-${crashes}`, ["root", "topic"]));
    }
    await fleet.advance(BEGUN_WAIT_MS + 1_000);
    t.is(fleet.countRefusing(["root", "deadly"]), 8);
    t.is(fleet.countRefusing(["root", "topic"]), 0);
});

test("a whole answer to a request ends its quarantine, and one that only begins does not", async t => {
    const fleet = new QuarantineFleet(8);
    for (let crashes = 0; crashes < 3; crashes++) {
        await crashAfterBegin(fleet, crashes, DEADLY, []);
    }
    await fleet.advance(BEGUN_WAIT_MS);
    fleet.get(2).parts.recordBegun(DEADLY);
    await fleet.settle();
    t.is(countRefusing(fleet, DEADLY), 8);
    fleet.get(2).parts.recordWhole(DEADLY);
    await fleet.settle();
    t.is(countRefusing(fleet, DEADLY), 0);
});
