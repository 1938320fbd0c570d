// See claim.txt. A new tenant's budget, whose owner is killed as the store comes back from a copy; and once more.
import { setTimeout as sleep } from "node:timers/promises";
import { ask, isCalm, Record, runCase, waitFor, withDeployment, Worker } from "../rig-2.mjs";

const PREPAID = 40_000;
const PROMPT_TOKENS = 100;
const EVENTS = 10;
const TOKENS_PER_EVENT = 6;
const CLIENTS = 24;
/** Traffic starts 12 s after the machines do. */
const LEAD_MS = 12_500;
/** Time from the tenant's appearance to the first drill, and from there to the second. */
const DRILL_AFTER_MS = 4_500;
const AWAY_MS = 300;
const RESTART_MS = 1_500;
const LAST_MS = 15_000;

const serveStream = async (req, res, run) => {
    res.on("error", () => undefined);
    res.writeHead(200, { "Attempt-Id": run.id, "Response-Seal": "seal", "Content-Type": "text/event-stream" });
    for (let event = 1; event <= EVENTS && !res.destroyed; event++) {
        await sleep(5);
        res.write(`id: ${event}\ndata: piece ${event}\n\n`);
    }
    res.end();
};

const createDocument = (version, tenants) => ({
    version,
    routes: [{
        name: "triage",
        host: "users.example",
        prefix: "/triage/",
        kind: "streaming",
        service: "llm",
        timeoutMs: 4_000,
        targetLatencyMs: 400,
        gapAimMs: 300,
        priority: 0,
        maxAttempts: 1,
    }],
    services: [{ name: "llm", maxConns: 500, engine: { stride: TOKENS_PER_EVENT } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants,
});

/** Clients of the new tenant; counts what is delivered to them. */
class Clients {
    sent = 0;
    tokens = 0;
    statuses = {};
    isOpen = true;

    constructor(fleet) {
        this.done = Promise.all(Array.from({ length: CLIENTS }, (_, at) => this.run(fleet, at)));
    }

    async run(fleet, at) {
        for (let round = at; this.isOpen; round++) {
            const { callers: address } = fleet[round % fleet.length];
            const id = `new-${this.sent++}`;
            const headers = { "Model": "m", "Token-Counts": `${PROMPT_TOKENS},${EVENTS * TOKENS_PER_EVENT}` };
            const { status, body } = await ask({ address, id, path: "/triage/x", key: "key-new", headers });
            const events = body.split("\n\n").length - 1;
            this.statuses[status] = (this.statuses[status] ?? 0) + 1;
            this.tokens += status === 200 && events > 0 ? PROMPT_TOKENS + events * TOKENS_PER_EVENT : 0;
            await sleep(status === 200 ? 20 : 250);
        }
    }
}

const findOwner = async fleet => {
    for (const instance of fleet) {
        const { budgets = [] } = await instance.getState().catch(() => ({}));
        if (budgets.some(({ budget }) => budget === "team-new")) {
            return instance;
        }
    }
    return undefined;
};

/** Kills the owner of the new tenant's budget as the store comes back from a copy; returns a copy from just after that. */
const drill = async ({ store, fleet, copy, document, record, clients }) => {
    let owner;
    await waitFor(async () => (owner = await findOwner(fleet)) !== undefined, 2_000, "an owner of the new budget");
    record.write(`delivered so far: ${clients.tokens}; SIGKILL to ${owner.name}, the store comes back from a copy`);
    owner.signal("SIGKILL");
    store.restore(copy);
    store.onCall = () => "silent";
    await sleep(AWAY_MS);
    store.onCall = () => undefined;
    store.server.closeAllConnections();
    // What the operator wrote is written again.
    store.put("op/config", document);
    const next = store.copy();
    await owner.exited;
    await sleep(RESTART_MS - AWAY_MS);
    owner.start();
    return next;
};

const main = async () => {
    const record = new Record(import.meta.dirname);
    const workers = [0, 1, 2, 3].map(at => new Worker({ id: `w-llm-${at}`, service: "llm", serve: serveStream }));
    const instances = ["a", "b", "c"].map(zone => ({ name: `edge-${zone}`, zone: `zone-${zone}` }));
    const old = { name: "team-old", apiKeys: ["key-old"], prepaid: 1_000_000 };
    const added = { name: "team-new", apiKeys: ["key-new"], prepaid: PREPAID };
    const document = createDocument(1, [old]);
    return await withDeployment({ document, workers, instances }, async ({ store, fleet }) => {
        await sleep(LEAD_MS);
        const first = store.copy();
        const next = createDocument(2, [old, added]);
        store.put("op/config", next);
        record.write(`the tenant team-new appears, prepaid ${PREPAID}`);
        const clients = new Clients(fleet);
        await sleep(DRILL_AFTER_MS);
        if (!isCalm) {
            const second = await drill({ store, fleet, copy: first, document: next, record, clients });
            await sleep(DRILL_AFTER_MS - RESTART_MS);
            await drill({ store, fleet, copy: second, document: next, record, clients });
        }
        const endsAt = performance.now() + LAST_MS;
        while (performance.now() < endsAt) {
            await sleep(3_000);
            record.write(`delivered so far: ${clients.tokens}; answers: ${JSON.stringify(clients.statuses)}`);
        }
        clients.isOpen = false;
        await clients.done;
        record.write(`tokens read and delivered for team-new: ${clients.tokens} of ${PREPAID} prepaid`);
        return clients.tokens > PREPAID;
    });
};

await runCase(main);
