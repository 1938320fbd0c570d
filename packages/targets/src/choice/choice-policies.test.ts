import test from "ava";
import fc from "fast-check";
import { AffinityChoice } from "./affinity-choice.js";
import { LeastInFlight } from "./least-in-flight.js";
import { RandomChoice } from "./random-choice.js";
import { RandomSource } from "./random-source.js";
import { getLoadShare, type TargetLoad } from "./target-choice-policy.js";
import { TwoChoicesWithAffinity } from "./two-choices-with-affinity.js";

const createTarget = (numbers: Partial<TargetLoad> = {}): TargetLoad => ({
    inFlight: 0,
    others: 0,
    capacity: 4,
    hasPrefix: false,
    ...numbers,
});

const anyTargets = fc.array(
    fc.record({
        inFlight: fc.nat(20),
        others: fc.nat(20),
        capacity: fc.integer({ min: 1, max: 16 }),
        hasPrefix: fc.boolean(),
    }),
    { minLength: 1, maxLength: 13 },
);

test("every policy chooses one of its candidates", t => {
    fc.assert(fc.property(anyTargets, fc.integer(), (targets, seed) => {
        const random = new RandomSource(seed);
        return [
            new AffinityChoice(random),
            new TwoChoicesWithAffinity(random),
            new RandomChoice(random),
            new LeastInFlight(random),
        ]
            .every(policy => targets[policy.choose(targets)] !== undefined);
    }));
    t.pass();
});

test("two choices never choose the single most loaded target", t => {
    fc.assert(fc.property(anyTargets, fc.integer(), (targets, seed) => {
        const without = targets.map(target => ({ ...target, hasPrefix: false }));
        const shares = without.map(target => getLoadShare(target));
        const fullest = Math.max(...shares);
        const chosen = shares[new TwoChoicesWithAffinity(new RandomSource(seed)).choose(without)];
        return chosen !== fullest || shares.length === 1 || shares.filter(share => share === fullest).length > 1;
    }));
    t.pass();
});

test("affinity alone never chooses a hot target", t => {
    fc.assert(fc.property(anyTargets, fc.integer(), (targets, seed) => {
        const choose = (candidates: readonly TargetLoad[]): number =>
            new AffinityChoice(new RandomSource(seed), { hotShare: 0.9 }).choose(candidates);
        const chosen = choose(targets);
        const plain = choose(targets.map(target => ({ ...target, hasPrefix: false })));
        return chosen === plain || getLoadShare(targets[chosen] as TargetLoad) <= 0.9;
    }));
    t.pass();
});

test("without prefixes the target with the fewest own requests is chosen, whatever delayed reports show", t => {
    fc.assert(fc.property(anyTargets, fc.integer(), (targets, seed) => {
        const without = targets.map(target => ({ ...target, hasPrefix: false }));
        const chosen = without[new AffinityChoice(new RandomSource(seed)).choose(without)] as TargetLoad;
        return without.every(target => getLoadShare(target, 0) >= getLoadShare(chosen, 0));
    }));
    t.pass();
});

test("a target with the prefix is chosen while its load is within the slack, and not beyond", t => {
    const policy = new AffinityChoice(new RandomSource(1));
    const idle = [createTarget(), createTarget(), createTarget()];
    t.is(policy.choose([...idle, createTarget({ inFlight: 1, hasPrefix: true })]), 3);
    t.not(policy.choose([...idle, createTarget({ inFlight: 2, hasPrefix: true })]), 3);
});

test("the target with the fewest requests in flight for its capacity is chosen", t => {
    const policy = new LeastInFlight(new RandomSource(1));
    t.is(policy.choose([createTarget({ inFlight: 2 }), createTarget({ inFlight: 3, capacity: 16 })]), 1);
});
