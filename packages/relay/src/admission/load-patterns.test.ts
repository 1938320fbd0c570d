import test from "ava";
import { type CallerKind, LoadReplay, type ReplayOptions } from "../fixtures/load-replay.js";

const SURGE_AT_MS = 2_000;
const TEAMS = ["team-1", "team-2", "team-3"];

/** An urgent kind that uses 42% of the targets at a factor of 1. */
const createQueries = (factor: (nowMs: number) => number, overrides: Partial<CallerKind> = {}): CallerKind => ({
    name: "query",
    teams: TEAMS,
    priority: 0,
    perS: nowMs => 100 * factor(nowMs),
    workMs: 100,
    objectiveMs: 500,
    deadlineMs: 6_000,
    maxSends: 2,
    ...overrides,
});

/** A less urgent kind that uses as much. */
const createDigests = (factor: (nowMs: number) => number): CallerKind => ({
    name: "digest",
    teams: TEAMS,
    priority: 2,
    perS: nowMs => 50 * factor(nowMs),
    workMs: 200,
    objectiveMs: 1_500,
    deadlineMs: 5_000,
    maxSends: 1,
});

const constant = (factor: number) => (): number => factor;
const surge = (factor: number) => (nowMs: number): number => nowMs >= SURGE_AT_MS ? factor : 1;

/** Replays a pattern without and with waiting. */
const compare = async (opts: Omit<ReplayOptions, "isWaiting">): Promise<readonly [LoadReplay, LoadReplay]> => [
    await LoadReplay.run({ reportAgeMs: 25, ...opts, isWaiting: false }),
    await LoadReplay.run({ reportAgeMs: 25, ...opts, isWaiting: true }),
];

test("while half of the slots are free nobody waits or is refused, and no demand is reported", async t => {
    const kinds = [createQueries(constant(0.6)), createDigests(constant(0.6))];
    const result = await LoadReplay.run({ kinds, isWaiting: true, reportAgeMs: 25 });
    t.is(result.getInTimeShare("query"), 1);
    t.is(result.getInTimeShare("digest"), 1);
    t.is(result.counters.size, 0);
});

test("with a sixth of the slots free nobody is refused or late, and no demand is reported", async t => {
    const kinds = [createQueries(constant(1)), createDigests(constant(1))];
    const result = await LoadReplay.run({ kinds, isWaiting: true, reportAgeMs: 25 });
    t.is(result.getInTimeShare("query"), 1);
    t.is(result.getInTimeShare("digest"), 1);
    t.deepEqual([...result.counters.keys()].filter(name => !/^request.*_wait/.test(name)), []);
});

test("all callers at 2.5 times their load: the urgent kind is served no later than the less urgent one", async t => {
    const [before, after] = await compare({ kinds: [createQueries(surge(2.5)), createDigests(surge(2.5))] });
    t.true(before.getInTimeShare("query") < before.getInTimeShare("digest"));
    t.true(after.getInTimeShare("query") >= after.getInTimeShare("digest"));
    t.true(after.getServedShare("query") >= after.getServedShare("digest"));
    t.true(after.getServedShare("digest") > 0);
});

test("a less urgent kind at 2.3 times its load: the urgent kind is served no later", async t => {
    const [before, after] = await compare({ kinds: [createQueries(constant(1)), createDigests(surge(2.3))] });
    t.true(before.getInTimeShare("query") < before.getInTimeShare("digest"));
    t.true(after.getInTimeShare("query") >= after.getInTimeShare("digest"));
    t.true(after.getServedShare("query") >= after.getServedShare("digest"));
});

for (const [where, instances] of [["at one instance", [0]], ["over all instances", undefined]] as const) {
    test(`one team at 7 times its load ${where}: the requests of the other teams are served more often in time`, async t => {
        const large = createQueries(nowMs => 0.6 * surge(7)(nowMs), {
            name: "large",
            teams: ["team-large"],
            ...(instances === undefined ? {} : { instances: () => instances }),
        });
        const opts = { kinds: [createQueries(constant(0.3)), large], durationMs: 5_000 };
        const [before, after] = await compare(opts);
        const unshared = await LoadReplay.run({ ...opts, reportAgeMs: 25, isWaiting: true, isShared: false });
        t.true(after.getInTimeShare("query") > unshared.getInTimeShare("query"));
        t.true(after.getInTimeShare("query") > before.getInTimeShare("query"));
        t.true(after.getInTimeShare("query") >= after.getInTimeShare("large"));
        t.true(after.getServedShare("query") >= before.getServedShare("query"));
    });
}

test("a quarter of the targets gone: the urgent kind is served no later than the less urgent one", async t => {
    const [before, after] = await compare({
        kinds: [createQueries(constant(1.15)), createDigests(constant(1.15))],
        durationMs: 12_000,
        events: [{ atMs: 3_000, run: replay => replay.removeTarget(0) }],
    });
    t.true(before.getInTimeShare("query") < before.getInTimeShare("digest"));
    t.true(after.getInTimeShare("query") >= after.getInTimeShare("digest"));
});

test("a wave of load between zones: urgent callers of both zones are served more often in time", async t => {
    const createZone = (name: string, instances: readonly number[], [fromMs, toMs]: readonly [number, number]) =>
        createQueries(nowMs => nowMs >= fromMs && nowMs < toMs ? 1.5 : 0.5, { name, instances: () => instances });
    const zones = [createZone("zone-a", [0, 1, 2], [2_000, 4_500]), createZone("zone-b", [3, 4, 5], [4_500, 8_000])];
    const [before, after] = await compare({ kinds: [...zones, createDigests(constant(1))] });
    t.true(after.getInTimeShare("zone-a") > before.getInTimeShare("zone-a"));
    t.true(after.getInTimeShare("zone-b") > before.getInTimeShare("zone-b"));
});

test("callers that retry at once: callers that wait as told are served more often, with less work for targets", async t => {
    // A plain service: no reports, and targets that let nothing wait.
    const plain = { priority: 2, workMs: 80, objectiveMs: 199, deadlineMs: 2_500, maxSends: 1 } as const;
    const kinds = [
        createQueries(constant(3.6), { ...plain, name: "impatient", isImpatient: true }),
        createQueries(constant(0.6), { ...plain, name: "patient" }),
    ];
    const opts = { kinds, targetQueue: 0, durationMs: 3_000 };
    const before = await LoadReplay.run({ ...opts, isWaiting: false });
    const after = await LoadReplay.run({ ...opts, isWaiting: true });
    t.true(after.getServedShare("patient") > before.getServedShare("patient"));
    t.true(after.getInTimeShare("patient") > before.getInTimeShare("patient"));
    t.true(after.rejections < before.rejections);
});

test("a restart of half of the fleet: those that wait there are refused at once, and urgent callers are served more often in time", async t => {
    const [before, after] = await compare({
        kinds: [createQueries(surge(1.5)), createDigests(surge(1.5))],
        events: [{ atMs: 4_000, run: replay => [0, 1, 2].forEach(index => replay.stopInstance(index)) }],
    });
    t.true((after.counters.get("waits_refused_leaving") ?? 0) > 0);
    t.true(after.getInTimeShare("query") > before.getInTimeShare("query"));
});

test("reports that are 2 s old: more urgent callers are served, and no fewer in time", async t => {
    const [before, after] = await compare({
        kinds: [createQueries(surge(2.5)), createDigests(surge(2.5))],
        reportAgeMs: 2_000,
    });
    t.true(after.getServedShare("query") > before.getServedShare("query"));
    t.true(after.getInTimeShare("query") >= before.getInTimeShare("query"));
});
