import type { StrayRefusal } from "@ospreyreel/stand-ins";
import test from "ava";
import { PlatformFleet } from "./platform-fleet.js";

const HTTP_UNAVAILABLE = 503;
const REQUESTS = 10;

const REFUSALS: readonly StrayRefusal[] = [
    { status: 503 },
    { status: 429 },
    { status: 421 },
    { status: 503, id: "attempt-0" },
];

for (const refusal of REFUSALS) {
    const { status, id = "no id" } = refusal;
    test.serial(`nobody is told 'not run' by a ${status} with ${id} that a target writes again before its answer`, async t => {
        const fleet = await PlatformFleet.start({ count: 1, plainCount: 2 });
        t.teardown(() => fleet.close());
        const [instance] = fleet.instances;
        if (instance === undefined) {
            return t.fail();
        }
        t.is((await fleet.call(instance, "/once/warm")).status, 200);
        fleet.plains.forEach(target => target.strayRefusal = refusal);
        for (let at = 0; at < REQUESTS; at++) {
            const answer = await fleet.call(instance, `/once/${at}`);
            const runs = fleet.plains.flatMap(target => target.ran).filter(({ path }) => path === `/once/${at}`).length;
            t.true(runs <= 1, `request ${at} ran ${runs} times`);
            t.false(answer.status === HTTP_UNAVAILABLE && runs > 0, `request ${at} was refused as not run`);
        }
    });
}
