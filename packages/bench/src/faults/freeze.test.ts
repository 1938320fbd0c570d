import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitVerdict } from "./await-verdict.js";
import { getWholeText } from "./call-outcome.js";
import { awaitCopyHolder } from "./copy-holder.js";
import { awaitRun, createCaller } from "./create-caller.js";
import { startFaultFleet } from "./fault-fleet.js";
import { AMPLE, runScenario } from "./scenario.js";

/** Longer than a lookup waits, and shorter than the time after which the copy is sealed. */
const UNANSWERED_LOOKUP_MS = 700;

test.serial("an instance frozen past sealing and thawed: what it held is settled once", async t => {
    const verdict = await runScenario({
        cleanup: t,
        name: "freeze",
        act: async fleet => {
            await sleep(500);
            fleet.freeze(0);
            await sleep(3_000);
            fleet.thaw(0);
        },
    });
    t.true(verdict.ok, JSON.stringify(verdict));
    t.log(JSON.stringify(verdict));
});

test.serial("a copy holder frozen past the timeout and thawed: the copy moves, nothing is closed wrongly", async t => {
    const verdict = await runScenario({
        cleanup: t,
        name: "freeze-copy",
        act: async fleet => {
            const copyHolder = await awaitCopyHolder(fleet, 0);
            await sleep(500);
            fleet.freeze(copyHolder);
            await sleep(3_000);
            fleet.thaw(copyHolder);
        },
    });
    t.true(verdict.ok, JSON.stringify(verdict));
    t.log(JSON.stringify(verdict));
});

test.serial("callers that ask the other instances while the first is frozen cause no second run", async t => {
    const fleet = await startFaultFleet({ cleanup: t, tokenMs: 50 });
    const calls = [];
    for (const first of [0, 1, 2]) {
        await awaitCopyHolder(fleet, first);
        const question = { tag: `frozen-${first}`, kind: "stream", length: 60 } as const;
        const sending = [createCaller(t, fleet, [first]).send(question)];
        await awaitRun(fleet, question.tag);
        fleet.freeze(first);
        const others = [0, 1, 2].filter(index => index !== first);
        sending.push(...others.map(index => createCaller(t, fleet, [index]).send(question)));
        await sleep(UNANSWERED_LOOKUP_MS);
        fleet.thaw(first);
        calls.push(...await Promise.all(sending));
    }
    for (const call of calls) {
        t.is(getWholeText(call), call.expected, JSON.stringify(call.attempts));
    }
    const verdict = await awaitVerdict(fleet, calls, AMPLE);
    t.true(verdict.ok, JSON.stringify(verdict));
    t.is(verdict.figures.repeatedRuns, 0);
});
