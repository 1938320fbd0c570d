// See claim.txt. One of eight instances is killed while it relays streams that end with their channel.
import { setTimeout as sleep } from "node:timers/promises";
import { ask, isCalm, Record, runCase, withDeployment, Worker } from "../rig-2.mjs";

const EVENTS = 40;
const STREAMS = 48;
const KILL_AFTER_MS = 1_000;

const main = async () => {
    const record = new Record(import.meta.dirname);
    const serveStream = async (req, res, run) => {
        const { socket } = res;
        socket.on("error", () => undefined);
        const head = [
            "HTTP/1.1 200 OK",
            `Attempt-Id: ${run.id}`,
            "Response-Seal: seal",
            "Content-Type: text/event-stream",
        ];
        socket.write(`${head.join("\r\n")}\r\nConnection: close\r\n\r\n`);
        for (run.sent = 0; run.sent < EVENTS && !socket.destroyed; run.sent++) {
            await sleep(50);
            socket.write(`id: ${run.sent + 1}\ndata: piece ${run.sent + 1}\n\n`);
        }
        socket.end();
    };
    const document = {
        version: 1,
        routes: [{
            name: "triage",
            host: "users.example",
            prefix: "/triage/",
            kind: "streaming",
            service: "llm",
            timeoutMs: 12_000,
            targetLatencyMs: 400,
            gapAimMs: 300,
            priority: 0,
            maxAttempts: 1,
        }],
        services: [{ name: "llm", maxConns: 500 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "team-1", apiKeys: ["key-1"] }],
    };
    const workers = [0, 1, 2].map(at => new Worker({ id: `w-llm-${at}`, service: "llm", serve: serveStream }));
    const instances = ["a", "a", "a", "b", "b", "b", "c", "c"].map((zone, at) => ({
        name: `edge-${zone}-${at}`,
        zone: `zone-${zone}`,
    }));
    return await withDeployment({ document, workers, instances }, async ({ fleet }) => {
        await sleep(1_000);
        const asked = Array.from({ length: STREAMS }, (_, at) => {
            const { callers: address, name } = fleet[at % fleet.length];
            const opts = { address, id: `stream-${at}`, path: "/triage/draft", key: "key-1", waitMs: 12_000 };
            record.write(`${opts.id}: sent to ${name}`);
            return ask({ ...opts, body: "complaint" });
        });
        await sleep(KILL_AFTER_MS);
        if (!isCalm) {
            record.write(`SIGKILL to ${fleet[0].name}`);
            fleet[0].signal("SIGKILL");
            await fleet[0].exited;
        }
        const answers = await Promise.all(asked);
        const runs = new Map(workers.flatMap(worker => worker.runs).map(run => [run.id, run]));
        let broken = 0;
        for (const { id, status, headers, body, end, isChunked } of answers) {
            const events = body.split("\n\n").length - 1;
            // Without length and chunks the orderly end of the channel is the end of the answer.
            const looksWhole = status === 200 && (end === "whole" || end === "closed" && !isChunked);
            const isWrong = looksWhole && events < EVENTS;
            broken += isWrong ? 1 : 0;
            record.write(
                `${id}: worker ran it, ${runs.get(id)?.sent} events; client: ${status}, seal ${
                    headers["response-seal"]
                }, ${events} of ${EVENTS} events, channel ${end}${isWrong ? ": LOOKS COMPLETE" : ""}`,
            );
        }
        record.write(`answers that ended early and look complete: ${broken}`);
        return broken > 0;
    });
};

await runCase(main);
