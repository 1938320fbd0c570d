import test from "ava";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { TargetDirectory } from "../targets/target-directory.js";
import type { TargetState } from "../targets/target-state.js";
import { WarmPreference } from "../targets/warm-preference.js";
import { ColdTargets } from "./cold-targets.js";

const SERVICE = { name: "service-1", maxConnections: 100, tokensPerEvent: undefined };
const COLD = { coldPerS: 5, coldStartMs: 20_000 };

const create = (service: Partial<typeof COLD> = COLD) => {
    const clock = { nowMs: 50_000 };
    const nowMs = (): number => clock.nowMs;
    const directory = new TargetDirectory({ nowMs, wallMs: nowMs });
    const cold = new ColdTargets({ findService: () => ({ ...SERVICE, ...service }), nowMs });
    const announce = (bornMsAgo: number, coldRemainingMs?: number, revision = 0): TargetState => {
        const startedAtMs = Math.max(0, clock.nowMs - bornMsAgo);
        directory.put({ ...createStart("target-1", startedAtMs), coldRemainingMs }, revision);
        return directory.list()[0] ?? (() => {
            throw new Error("no target");
        })();
    };
    return { clock, cold, announce };
};

test("a target that has just started is cold for the time of its service, even if its entry does not say so yet", t => {
    const { clock, cold, announce } = create();
    const state = announce(500, 0);
    t.deepEqual(cold.getLimit(state), { perS: 5, leftMs: 19_500 });
    clock.nowMs += 19_600;
    t.is(cold.getLimit(state), undefined);
});

test("a target that runs for longer is cold for as long as its entry says, and an entry that is read again adds nothing", t => {
    const { clock, cold, announce } = create();
    t.is(cold.getLimit(announce(6_000, 0, 1)), undefined);
    t.is(cold.getLimit(announce(6_000, 8_000, 2))?.leftMs, 8_000);
    clock.nowMs += 6_000;
    t.is(cold.getLimit(announce(12_000, 8_000, 2))?.leftMs, 2_000);
    t.is(cold.getLimit(announce(12_000, 0, 3)), undefined);
});

test("a service without a rate for cold targets has no limit for them", t => {
    for (const service of [{}, { coldPerS: 0, coldStartMs: 20_000 }]) {
        const { cold, announce } = create(service);
        t.is(cold.getLimit(announce(500, 8_000)), undefined);
    }
});

test("others are told an assumed cold time only for a short time, and an announced one in full", t => {
    const { cold, announce } = create();
    t.is(cold.getSharedLimit(announce(500, 0))?.leftMs, 3_000);
    t.is(cold.getSharedLimit(announce(500, 8_000))?.leftMs, 8_000);
});

// Sends that waited together for connections would arrive in one burst.
test("a permit to send to a cold target is not used after a wait", t => {
    const { clock, cold, announce } = create();
    const state = announce(500, 0);
    const permittedAtMs = clock.nowMs;
    t.true(cold.mayStart(state, permittedAtMs));
    clock.nowMs += 300;
    t.false(cold.mayStart(state, permittedAtMs));
    clock.nowMs += 20_000;
    t.true(cold.mayStart(state, permittedAtMs));
});

test("cold targets are left out for most requests where half of the slots are warm, and used for all where fewer are", t => {
    const { announce } = create();
    const state = announce(500, 0);
    const candidates = ["warm", "warm", "cold"].map(kind => ({ state, kind }));
    const filter = (random: number, kinds: typeof candidates): number => {
        const left = kinds.map(({ kind }) => kind);
        const preference = new WarmPreference({ isCold: () => left.shift() === "cold", random: () => random });
        return preference.filter(kinds).length;
    };
    t.is(filter(0.9, candidates), 2);
    t.is(filter(0.1, candidates), 3);
    t.is(filter(0.9, candidates.slice(2)), 1);
    t.is(filter(0.9, [...candidates.slice(1), ...candidates.slice(2)]), 3);
});
