// A budget's owner freezes and wakes, and so does its successor, later and for a shorter time.
import { setTimeout as sleep } from "node:timers/promises";
import { hasTrouble, runCase } from "../rig.mjs";

const TENANT = "huka270";
const KEY = "xd9dnn2ctnfzs989anu6";
const PREPAID = 40_000;
const PROMPT_TOKENS = 70;
const EVENTS = 6;
const TOKENS_EACH = 5;
const MAX_OUTPUT_TOKENS = EVENTS * TOKENS_EACH;
const ZONES = ["ahd-hall", "vad-hall", "rjt-hall"];
const INSTANCES = 8;

/** Time in which the budget's first record is old enough that all of it may be handed out. */
const SETTLE_MS = 12_000;

/** Both within the 4 s of the site's `node_freeze`. */
const FIRST_FREEZE_MS = 4_000;
const SECOND_FREEZE_MS = 1_000;

const CLIENTS = 4;
const PAUSE_MS = 100;

const document = {
    version: 7,
    routes: [{
        name: "contract-clause",
        host: "users.example",
        prefix: "/pule252/",
        kind: "streaming",
        timeoutMs: 4_000,
        targetLatencyMs: 400,
        gapAimMs: 300,
        maxAttempts: 2,
        sticky: true,
        resumable: true,
        service: "osprey-llm",
    }],
    services: [{ name: "osprey-llm", healthPath: "/health", maxConns: 500, engine: { stride: TOKENS_EACH } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1, prepaid: PREPAID }],
};

const countEvents = body => body.split("\n").filter(line => line.startsWith("id: ")).length;

/** Clients of one tenant that keep their channels to one machine. */
class Clients {
    delivered = 0;
    answers = new Map();
    isOpen = true;
    lastServedAtMs = performance.now();

    constructor(deployment, instance) {
        this.deployment = deployment;
        this.instance = instance;
        this.loops = Array.from({ length: CLIENTS }, () => this.run());
    }

    async run() {
        while (this.isOpen) {
            await sleep(PAUSE_MS);
            await this.ask();
        }
    }

    async ask() {
        const { status, headers, body } = await this.deployment.send(this.instance, {
            path: "/pule252/2f",
            headers: {
                "Authorization": `Bearer ${KEY}`,
                "Model": "m",
                "Token-Counts": `${PROMPT_TOKENS},${MAX_OUTPUT_TOKENS}`,
                "Prompt-Prefix": "5c1e07a2:40,91bd3f06:30",
            },
        });
        this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
        if (status === 200) {
            // Input counts once for each request, output as it was delivered.
            this.delivered += PROMPT_TOKENS + TOKENS_EACH * countEvents(body);
            this.lastServedAtMs = performance.now();
        }
        else if (headers["retry-after"] !== undefined) {
            await sleep(Number(headers["retry-after"]) * 1_000);
        }
    }

    async stop() {
        this.isOpen = false;
        await Promise.all(this.loops);
    }
}

const freeze = async (recorder, instance, ms) => {
    recorder.add(`${instance.name} freezes for ${ms} ms`);
    instance.signal("SIGSTOP");
    await sleep(ms);
    instance.signal("SIGCONT");
    recorder.add(`${instance.name} wakes`);
};

await runCase(import.meta.dirname, async (deployment, recorder) => {
    await deployment.start({
        document,
        workers: [1, 2, 3].map(at => ({ id: `i-${at}`, service: "osprey-llm", events: EVENTS, stepMs: 10 })),
        instances: Array.from({ length: INSTANCES }, (_, at) => ({
            instance: `edge-${ZONES[at % ZONES.length]}-${Math.floor(at / ZONES.length) + 1}`,
            availabilityZone: ZONES[at % ZONES.length],
        })),
    });
    await sleep(SETTLE_MS);
    const { instances } = deployment;
    const owner = await deployment.findOwner(TENANT, instances);
    if (owner === undefined) {
        throw new Error("nobody owns the budget");
    }
    recorder.add(`${owner.name} owns the budget`);
    // The last one in the order of names is neither the owner nor its successor with these names.
    const entry = instances.findLast(instance => instance !== owner);
    const clients = new Clients(deployment, entry);
    await sleep(4_000);
    if (hasTrouble) {
        await freeze(recorder, owner, FIRST_FREEZE_MS);
    }
    await sleep(3_000);
    const others = instances.filter(instance => instance !== owner);
    const successor = hasTrouble ? await deployment.findOwner(TENANT, others) : owner;
    recorder.add(`${successor?.name} owns the budget now`);
    if (successor === undefined || (hasTrouble && successor === entry)) {
        throw new Error("the successor is not another instance");
    }
    if (hasTrouble) {
        await freeze(recorder, successor, SECOND_FREEZE_MS);
    }
    clients.lastServedAtMs = performance.now();
    while (performance.now() - clients.lastServedAtMs < 8_000) {
        await sleep(200);
    }
    await clients.stop();
    const { delivered, answers } = clients;
    recorder.add(`answers by status: ${[...answers].map(([status, count]) => `${status}: ${count}`).join(", ")}`);
    recorder.add(`${TENANT} prepaid ${PREPAID} tokens and got ${delivered}`);
    return delivered <= PREPAID;
});
