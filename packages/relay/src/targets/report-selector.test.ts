import test from "ava";
import { PlacementReplay, type PlacementReplayOptions, type ReplayedKind } from "../fixtures/placement-replay.js";

const QUERIES: ReplayedKind = {
    perS: 200,
    ownTokens: 628,
    sharedTokens: 198,
    events: 20,
    getPart: request => `part-${request % 200}`,
};

const UNIFORM = Array.from({ length: 20 }, () => ({}));

const create = (opts: Partial<PlacementReplayOptions> = {}): PlacementReplay =>
    new PlacementReplay({
        instances: 80,
        targets: UNIFORM,
        usesReports: true,
        reportAgeMs: 100,
        intervalMs: 500,
        ...opts,
    });

/** Requests by which the mean load of a target exceeds the bound of affinity, 1.25 times the mean and 2; negative within it. */
const getExcess = ({ targets }: PlacementReplay): number => {
    const loads = targets.map(target => target.meanRequests);
    return Math.max(...loads) - 1.25 * loads.reduce((sum, load) => sum + load, 0) / loads.length - 2;
};

/** Replays a prompt part with two thirds of all tokens and a fall of its demand; tells the highest load and its targets before and after. */
const replayHotPart = (usesReports: boolean) => {
    const replay = create({ usesReports });
    const hot: ReplayedKind = { perS: 100, ownTokens: 2_890, sharedTokens: 6_300, events: 9, getPart: () => "hot" };
    replay.run(20_000, [QUERIES, hot]);
    const before = new Set(replay.targets.filter(({ parts }) => parts.has("hot")));
    replay.reset();
    replay.run(10_000, [QUERIES, hot]);
    const excess = getExcess(replay);
    replay.run(60_000, [QUERIES, { ...hot, perS: 2 }]);
    replay.targets.forEach(({ parts }) => parts.delete("hot"));
    replay.run(10_000, [QUERIES, { ...hot, perS: 2 }]);
    return { excess, hotTargets: before.size, later: replay.targets.filter(({ parts }) => parts.has("hot")).length };
};

test("load pattern, a hot prompt part at 80 instances: it gets more targets while it is hot, and none is overloaded", t => {
    const { excess, hotTargets, later } = replayHotPart(true);
    const today = replayHotPart(false);
    t.log({ excess, hotTargets, later, today });
    t.true(excess <= 0, `${excess} requests above the bound`);
    t.true(today.excess > 0, "without reports, the bound does not hold");
    t.true(hotTargets >= 3 && hotTargets <= 14, `${hotTargets} targets`);
    t.true(later <= 3, `${later} targets after the demand fell`);
});

test("load pattern, targets of speeds 0.7, 0.7 and 1.7: each gets requests in proportion", t => {
    const speeds = [0.7, 0.7, 1.7];
    const replay = create({ instances: 6, targets: speeds.map(speed => ({ speed, slots: 32 })) });
    const kind: ReplayedKind = { ...QUERIES, perS: 60, getPart: () => undefined };
    replay.run(20_000, [kind]);
    replay.reset();
    replay.run(20_000, [kind]);
    const served = replay.targets.map(target => target.served);
    const total = served.reduce((sum, count) => sum + count, 0);
    t.log(served);
    served.forEach((count, index) => {
        const fair = (speeds[index] ?? 0) / 3.1;
        t.true(Math.abs(count / total - fair) < 0.2 * fair + 0.03, `${count} of ${total}, fair ${fair}`);
    });
});

test("load pattern, a target near its memory limit: what it holds and what is on its way stay under it", t => {
    const [first, ...others] = UNIFORM;
    const targets = [{ ...first, capacityTokens: 235_000, baseTokens: 195_000 }, ...others];
    const kind: ReplayedKind = { ...QUERIES, perS: 60, ownTokens: 9_190, events: 9, getPart: () => undefined };
    const replay = create({ targets });
    // Before the first reports, requests are placed without them.
    replay.run(1_000, [kind]);
    replay.reset();
    replay.run(20_000, [kind]);
    const [tight] = replay.targets;
    t.log(tight?.maxTokens, tight?.served);
    t.true((tight?.maxTokens ?? 0) <= 235_000, `${tight?.maxTokens} tokens`);
    t.true((tight?.served ?? 0) > 0);
});

test("load pattern, reports that are 2 s old: no herd on a target that looked empty", t => {
    const replay = create({ reportAgeMs: 2_000 });
    const kind: ReplayedKind = { ...QUERIES, perS: 300, getPart: () => undefined };
    replay.run(10_000, [kind]);
    replay.reset();
    replay.run(20_000, [kind]);
    // A target that looks better than all others is compared with another one in two of the choices among all.
    const mean = 300 * 2 / UNIFORM.length;
    const most = Math.max(...replay.targets.flatMap(({ windows }) => [...windows.values()]));
    t.log(most, getExcess(replay));
    t.true(most <= 2 * mean, `${most} requests in the age of a report, ${mean} on average`);
    t.true(getExcess(replay) <= 0);
});

test("load pattern, surging callers of one zone: the excess goes to targets of the other zone", t => {
    const targets = UNIFORM.map((_, index) => ({ availabilityZone: index % 2 === 0 ? "zone-a" : "zone-b" }));
    const replay = create({ targets });
    const kind: ReplayedKind = { ...QUERIES, getPart: () => undefined };
    const calm = [{ ...kind, perS: 50, zone: "zone-a" }, { ...kind, perS: 50, zone: "zone-b" }];
    replay.run(10_000, calm);
    const surge = [{ ...kind, perS: 300, zone: "zone-a" }, { ...kind, perS: 50, zone: "zone-b" }];
    replay.run(10_000, surge);
    replay.reset();
    replay.run(10_000, surge);
    const getServed = (zone: string): number =>
        replay.targets.filter(({ target }) => target.availabilityZone === zone)
            .reduce((sum, { served }) => sum + served, 0);
    t.log(getServed("zone-a"), getServed("zone-b"), getExcess(replay));
    t.true(getServed("zone-b") > 0.35 * (getServed("zone-a") + getServed("zone-b")));
    t.true(getExcess(replay) <= 0);
});
