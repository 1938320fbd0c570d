// A small model worker by the pages, that a request can crash.
import { once } from "node:events";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const HOST = "127.0.0.1";

export class CrashingWorker {
    ran = [];
    crashedAtMs = [];
    sockets = new Set();
    port = 0;

    version = "v1";

    /**
     * `deadlyBody` crashes the worker after it has written `eventsBeforeCrash` events; `onStart` is called at each start, before
     * the worker listens if its port is known.
     */
    constructor({ id, service, zone, events, stepMs, downMs, deadlyBody, eventsBeforeCrash, onStart }) {
        Object.assign(this, { id, service, zone, events, stepMs, downMs, deadlyBody, eventsBeforeCrash, onStart });
    }

    async start() {
        this.isOpen = true;
        this.server = createServer((req, res) => {
            this.answer(req, res).catch(() => res.destroy());
        });
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.born = Date.now();
        const isRestart = this.port !== 0;
        if (isRestart) {
            this.onStart?.(this);
        }
        this.server.listen(this.port, HOST);
        await once(this.server, "listening");
        this.port = this.server.address().port;
        if (!isRestart) {
            this.onStart?.(this);
        }
    }

    getEntry() {
        const { id, service, zone, port, born, version } = this;
        const fixed = { version, slots: 96, state: "ready", coldRemainingMs: 0, seq: 1 };
        return [`servers/${id}`, { service, address: `${HOST}:${port}`, zone, born, ...fixed }];
    }

    async close() {
        this.isOpen = false;
        this.end();
    }

    /** Resets all channels and refuses new ones for some seconds; it comes back with a version of its software. */
    async crash(version = this.version) {
        this.crashedAtMs.push(performance.now());
        this.end();
        await sleep(this.downMs);
        this.version = version;
        if (this.isOpen) {
            await this.start();
        }
    }

    end() {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    async answer(req, res) {
        let body = "";
        for await (const part of req) {
            body += part.toString();
        }
        const attempt = String(req.headers["attempt-id"]);
        if (req.headers["expect-instance"] !== this.id) {
            res.writeHead(421, { "Attempt-Id": attempt, "Instance-Id": this.id }).end();
            return;
        }
        const { version } = this;
        const isDeadly = body === this.deadlyBody;
        const run = { id: attempt, target: this.id, path: req.url, isDeadly, atMs: performance.now(), end: undefined };
        this.ran.push(run);
        res.once("close", () => run.end ??= { how: res.writableFinished ? "complete" : "disconnected" });
        res.writeHead(200, {
            "Attempt-Id": attempt,
            "Response-Seal": `seal-${this.id}`,
            "Content-Type": "text/event-stream",
        });
        for (
            let at = Number(req.headers["last-event-id"] ?? 0) + 1, written = 0;
            at <= this.events && !res.destroyed;
            at++, written++
        ) {
            await sleep(this.stepMs);
            if (isDeadly && written >= this.eventsBeforeCrash) {
                run.end = { how: "crashed" };
                await this.crash();
                return;
            }
            res.write(`id: ${at}\ndata: ${attempt} ${version}\n\n`);
        }
        res.end();
    }
}
