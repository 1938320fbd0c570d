import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const HTTP_OK = 200;

/** Time in which an entry is seen by all instances, in milliseconds. */
const SEEN_MS = 1_000;

const RUN_MS = 2_000;
const ASK_INTERVAL_MS = 20;

const ENTRY = { service: "model", address: "127.0.0.1:9", zone: "zone-0", slots: 4, state: "ready", seq: 1 };

const ODD_VALUES: readonly (readonly [string, string])[] = [
    ["a port out of range", JSON.stringify({ ...ENTRY, address: "127.0.0.1:70000" })],
    ["port 0", JSON.stringify({ ...ENTRY, address: "127.0.0.1:0" })],
    ["an address that is none", JSON.stringify({ ...ENTRY, address: "999.1.1.1:80" })],
    ["slots below 0", JSON.stringify({ ...ENTRY, slots: -3 })],
    ["very many slots", JSON.stringify({ ...ENTRY, slots: 1e300 })],
    ["a number beyond the range", JSON.stringify({ ...ENTRY, slots: 0 }).replace("\"slots\":0", "\"slots\":1e999")],
    ["a start far away", JSON.stringify({ ...ENTRY, born: 1e300 })],
    ["values nested very deep", `${"[".repeat(200_000)}${"]".repeat(200_000)}`],
    ["bytes that are no text", "\u{fffd}\u0000"],
];

test.serial("odd entries among those of the targets end no instance and stop none from following the others", async t => {
    const fleet = await PlatformFleet.start({ prepaid: 10_000_000 });
    t.teardown(() => fleet.close());
    const ended: string[] = [];
    fleet.instances.forEach(({ name, process }) => void process.exited.then(() => ended.push(name)));
    for (const [at, [, value]] of ODD_VALUES.entries()) {
        fleet.store.putBytes(`servers/odd-${at}`, Buffer.from(value));
    }
    await sleep(SEEN_MS);
    const answers = await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    t.deepEqual(ended, []);
    t.true(answers.length > 0);
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
    fleet.announceLeaving(0);
    await sleep(SEEN_MS);
    const before = fleet.models[0]?.ran.length;
    t.true((await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS)).every(({ status }) => status === HTTP_OK));
    t.is(fleet.models[0]?.ran.length, before, "a leaving target gets requests");
});
