import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { CallerCrowd, CROWD_CASES, type CrowdCase } from "../rig/caller-crowd.js";
import { ProcessWatch } from "../rig/process-watch.js";
import { CALLER_KEY, type CallerFleet, startCallerFleet } from "./caller-fleet.js";

/** Memory of the smallest instance of the users' sites, in bytes. */
const MAX_MEMORY_BYTES = 210e6;

/** Share of its descriptors that a process may have open: a quarter is left for targets, peers and the KV service. */
const MAX_OPEN_SHARE = 3 / 4;

/** Limit on held bodies that suits the memory of the smallest instance. */
const MAX_HELD_BYTES = 16 * 1_048_576;

const ANSWER_WITHIN_MS = 20_000;

const HEAD = `POST /v1/chat/completions HTTP/1.1\r\nHost: caller\r\nAuthorization: Bearer ${CALLER_KEY}\r\n`;

const BODY = JSON.stringify({ model: "reader", messages: [{ role: "user", content: "served len=3" }] });

const ask = async (fleet: CallerFleet): Promise<boolean> => {
    try {
        const res = await request(`${fleet.url()}/v1/chat/completions`, {
            method: "POST",
            body: BODY,
            headers: { "authorization": `Bearer ${CALLER_KEY}`, "content-type": "application/json" },
            signal: AbortSignal.timeout(5_000),
            reset: true,
        });
        await res.body.dump();
        return res.statusCode === 200;
    }
    catch {
        return false;
    }
};

/** Asks until a request is answered with 200, as a caller would that is refused meanwhile. */
const askUntilServed = async (fleet: CallerFleet): Promise<boolean> => {
    const endsAtMs = performance.now() + ANSWER_WITHIN_MS;
    while (performance.now() < endsAtMs) {
        if (await ask(fleet)) {
            return true;
        }
        await sleep(200);
    }
    return false;
};

const runCrowd = async (t: ExecutionContext, crowdCase: CrowdCase): Promise<void> => {
    const fleet = await startCallerFleet({
        cleanup: t,
        settings: { limits: { maxHeldBytes: MAX_HELD_BYTES } },
        maxDescriptors: crowdCase.descriptors,
        env: { NODE_OPTIONS: "--max-old-space-size=200" },
    });
    t.true(await askUntilServed(fleet));
    const watch = new ProcessWatch(fleet.fleet.instance(0).process);
    t.teardown(() => watch.close());
    const { hostname: host, port } = new URL(fleet.url());
    const crowd = await CallerCrowd.start({ host, port: Number(port) }, HEAD, crowdCase);
    t.teardown(() => crowd.close());
    const isServed = await askUntilServed(fleet);
    const memory = await watch.readPeakMemory();
    t.log(`peak ${Math.round(memory / 1e6)} MB, ${watch.peakDescriptors} descriptors`);
    t.true(watch.isRunning);
    t.true(memory < MAX_MEMORY_BYTES, `${memory} bytes`);
    t.true(watch.peakDescriptors <= crowdCase.descriptors * MAX_OPEN_SHARE, `${watch.peakDescriptors} descriptors`);
    t.true(isServed);
};

// Guards against a daemon that callers outside of the limits bring down or keep from serving others.
for (const crowdCase of CROWD_CASES) {
    test.serial(`the daemon outlasts ${crowdCase.name}`, t => runCrowd(t, crowdCase));
}
