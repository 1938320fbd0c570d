// See claim.txt. Streams that end with their channel break off at their workers, while a small instance hands its callers' connections off.
import { fork } from "node:child_process";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { ask, isCalm, Record, runCase, withDeployment, Worker } from "../rig-2.mjs";

const EVENTS = 12;
const STEP_MS = 15;
/** `garble`, unframed: two of four workers, a share of 0.05 of their answers, for 5 s; then a pause. */
const GARBLE = { workers: ["w-llm-0", "w-llm-1"], share: 0.05, lengthMs: 5_000, pauseMs: 1_000 };
/** Ordinary requests a second at the small instance, and streams. Each of the others gets a sixth of both. */
const LOAD_PER_S = 75;
const LOAD_PROCESSES = 3;
const STREAMS_PER_S = 35;
const OTHERS_SHARE = 6;
/** Usage cap of the smallest machine: share of each tenth of a second in which it runs. */
const CAP = 0.324;
const CAP_INTERVAL_MS = 100;
/** Time in which the ordinary load grows; a process that has just started is busy with little. */
const RAMP_MS = 8_000;
const RUN_MS = 50_000;

/** Most callers are those of the small instance. */
const chooseAddresses = (addresses, round) => round % OTHERS_SHARE === 0 ? addresses : addresses.slice(0, 1);

/** Sends ordinary requests until the process is killed, or the one that started it has ended. */
const sendLoad = async addresses => {
    process.on("disconnect", () => process.exit());
    const startedAt = performance.now();
    for (let at = 0;; at++) {
        chooseAddresses(addresses, at).forEach((address, index) => {
            const id = `load-${process.pid}-${at}-${index}`;
            void ask({ address, id, method: "GET", path: "/desk/item", key: "key-1", waitMs: 3_000 });
        });
        const share = Math.min(1, Math.max(0.1, (performance.now() - startedAt) / RAMP_MS));
        await sleep(1_000 * LOAD_PROCESSES / LOAD_PER_S / share);
    }
};

/** Breaks some of the workers' streams off, in the middle of an event and with a reset. */
class Garble {
    broken = 0;

    constructor() {
        this.startedAt = performance.now();
    }

    /** Event in which a stream breaks off; undefined where it does not. */
    choose(worker) {
        const atMs = (performance.now() - this.startedAt) % (GARBLE.lengthMs + GARBLE.pauseMs);
        const isOn = !isCalm && atMs < GARBLE.lengthMs && GARBLE.workers.includes(worker);
        return isOn && Math.random() < GARBLE.share ? 4 + Math.floor(Math.random() * 4) : undefined;
    }
}

const createServeStream = garble => async (req, res, run) => {
    const { socket } = res;
    socket.on("error", () => undefined);
    const head = ["HTTP/1.1 200 OK", `Attempt-Id: ${run.id}`, "Response-Seal: seal", "Content-Type: text/event-stream"];
    socket.write(`${head.join("\r\n")}\r\nConnection: close\r\n\r\n`);
    const breaksAt = garble.choose(run.worker);
    for (run.sent = 0; run.sent < EVENTS && !socket.destroyed; run.sent++) {
        await sleep(STEP_MS);
        if (run.sent === breaksAt) {
            garble.broken += 1;
            run.how = "reset";
            socket.write(`id: ${run.sent + 1}\ndata: pie`, () => socket.resetAndDestroy());
            return;
        }
        socket.write(`id: ${run.sent + 1}\ndata: piece ${run.sent + 1}\n\n`);
    }
    run.how = socket.destroyed ? "left" : "whole";
    socket.end();
};

const servePlain = async (req, res, run) => {
    res.writeHead(200, { "Attempt-Id": run.id, "Response-Seal": "seal" }).end("item");
};

const createDocument = () => {
    const route = { host: "users.example", timeoutMs: 4_000, targetLatencyMs: 400, priority: 0, maxAttempts: 1 };
    return {
        version: 1,
        routes: [
            { ...route, name: "triage", prefix: "/triage/", kind: "streaming", service: "llm", gapAimMs: 300 },
            { ...route, name: "desk", prefix: "/desk/", kind: "idempotent", service: "desk", maxAttempts: 2 },
        ],
        services: [{ name: "llm", maxConns: 500 }, { name: "desk", maxConns: 500 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "team-1", apiKeys: ["key-1"] }],
    };
};

const sendStreams = async addresses => {
    const endsAt = performance.now() + RUN_MS;
    const asked = [];
    for (let round = 0; performance.now() < endsAt; round++) {
        for (const address of chooseAddresses(addresses, round)) {
            const id = `stream-${asked.length}`;
            asked.push(ask({ address, id, path: "/triage/draft", key: "key-1", body: "complaint" }));
        }
        await sleep(1_000 / STREAMS_PER_S);
    }
    return await Promise.all(asked);
};

/** Runs the streams beside the ordinary load, with the first instance on a small machine. */
const runStreams = async ([first, ...others]) => {
    const addresses = [first, ...others].map(({ callers }) => callers);
    const loads = Array.from({ length: LOAD_PROCESSES }, () => fork(import.meta.filename, addresses));
    const cap = setInterval(() => {
        first.signal("SIGCONT");
        setTimeout(() => first.signal("SIGSTOP"), CAP * CAP_INTERVAL_MS);
    }, CAP_INTERVAL_MS);
    try {
        await sleep(RAMP_MS);
        return await sendStreams(addresses);
    }
    finally {
        clearInterval(cap);
        await sleep(2 * CAP_INTERVAL_MS);
        first.signal("SIGCONT");
        loads.forEach(child => child.kill("SIGKILL"));
        await Promise.all(loads.map(child => child.exitCode ?? child.signalCode ?? once(child, "exit")));
    }
};

/** Records how the streams ended for their clients; returns how many look complete though their worker broke them off. */
const judge = (answers, workers, record) => {
    const runs = new Map(workers.flatMap(worker => worker.runs).map(run => [run.id, run]));
    const kinds = {};
    let wrong = 0;
    for (const { id, status, headers, body, end } of answers) {
        const { how = "not run", sent } = runs.get(id) ?? {};
        const kind = `client ${status}, channel ${end}; worker: ${how}`;
        kinds[kind] = (kinds[kind] ?? 0) + 1;
        if (status === 200 && (end === "whole" || end === "closed") && how === "reset") {
            wrong += 1;
            const events = body.split("\n\n").length - 1;
            record.write(
                `${id}: worker sent ${sent} of ${EVENTS} events and a part of one, then reset; client got 200, seal ${
                    headers["response-seal"]
                }, ${events} whole events and an ordinary end`,
            );
        }
    }
    Object.entries(kinds).forEach(([kind, count]) => record.write(`${count} streams: ${kind}`));
    return wrong;
};

const main = async () => {
    const record = new Record(import.meta.dirname);
    const garble = new Garble();
    const serve = createServeStream(garble);
    const workers = [
        ...[0, 1, 2, 3].map(at => new Worker({ id: `w-llm-${at}`, service: "llm", serve })),
        ...[0, 1, 2].map(at => new Worker({ id: `w-desk-${at}`, service: "desk", slots: 6, serve: servePlain })),
    ];
    const instances = ["a", "b", "b", "c", "c"].map((zone, at) => ({
        name: `edge-${zone}-${at}`,
        zone: `zone-${zone}`,
        settings: { processor: at === 0 ? { cores: 1, share: CAP } : { cores: 2, share: 0.675 } },
    }));
    return await withDeployment({ document: createDocument(), workers, instances }, async ({ fleet }) => {
        fleet[0].onLine = line => {
            const { message, context } = /"connections (handed off|kept|not taken)"/.test(line) ? JSON.parse(line) : {};
            if (message !== undefined) {
                record.write(
                    `${fleet[0].name}: ${message}: ${context.helper ?? context.answers}, ${context.cause ?? ""}`,
                );
            }
        };
        await sleep(2_000);
        const answers = await runStreams(fleet);
        const wrong = judge(answers, workers, record);
        const metrics = await (await fetch(`http://${fleet[0].metrics}/metrics`)).text();
        record.write(metrics.split("\n").filter(line => /^[^#]*handed_off/.test(line)).join("; "));
        record.write(`broken off by their workers: ${garble.broken}; of these complete for their clients: ${wrong}`);
        return wrong > 0;
    });
};

if (process.send === undefined) {
    await runCase(main);
}
else {
    await sendLoad(process.argv.slice(2));
}
