// Starts a small deployment on loopback: a store, workers, and instances as separate processes.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { getFreePorts, PlatformStoreStandIn, PlatformTargetStandIn } from "../packages/stand-ins/dist/index.js";

const ROOT = new URL("..", import.meta.url).pathname;
const PORTS_EACH = 6;
const MAX_RUN_MS = 115_000;
const HOST = "users.example";

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption is made. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Returns the run command of the deploy file. */
const readRunCommand = () => {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program = "", ...args] = (/^run = "(.*)"$/m.exec(text)?.[1] ?? "").split(" ");
    return { program, args };
};

/** Writes lines with the time since the start of the run. */
export class Recorder {
    lines = [];
    startedAtMs = performance.now();

    constructor(folder) {
        this.file = join(folder, "record.txt");
    }

    add(text) {
        this.lines.push(`${((performance.now() - this.startedAtMs) / 1_000).toFixed(3)} ${text}`);
    }

    save() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/** One instance, as a process of its own. */
class Instance {
    logLines = [];

    constructor(settings, folder) {
        this.settings = settings;
        this.name = settings.instance;
        this.file = join(folder, `${this.name}.jsonc`);
        this.change({});
    }

    /** Changes settings, before the start. */
    change(settings) {
        this.settings = { ...this.settings, ...settings };
        writeFileSync(this.file, JSON.stringify(this.settings));
    }

    start() {
        const { program, args } = readRunCommand();
        const { PATH, HOME, LANG } = process.env;
        const env = { PATH, HOME, LANG, ROARR_LOG: "true", OSPREYREEL_SETTINGS: this.file };
        this.child = spawn(program, args, { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] });
        this.ended = new Promise(resolve => this.child.once("exit", (code, signal) => resolve({ code, signal })));
        for (const stream of [this.child.stdout, this.child.stderr]) {
            stream.setEncoding("utf8").on("data", text => this.logLines.push(...text.split("\n")));
        }
    }

    signal(name) {
        this.child.kill(name);
    }

    async isReady() {
        const res = await get(`http://${this.settings.readiness}/ospreyreel/readiness`);
        return res.status === 200;
    }

    /** Reads the state for operators; undefined where the process does not answer. */
    async readState() {
        const res = await get(`http://${this.settings.metrics}/state`);
        return res.status === 200 ? JSON.parse(res.body) : undefined;
    }
}

/** Sends a GET request; status 0 where nothing answers within a second. */
const get = url =>
    new Promise(resolve => {
        const req = request(url, { timeout: 1_000 }, res => {
            let body = "";
            res.setEncoding("utf8").on("data", text => body += text);
            res.on("end", () => resolve({ status: res.statusCode, body }));
            res.on("error", () => resolve({ status: 0, body }));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve({ status: 0, body: "" }));
        req.end();
    });

/** A store, workers and instances. */
export class Deployment {
    store = new PlatformStoreStandIn();
    workers = [];
    instances = [];
    attempts = 0;
    watched = new WeakSet();
    reset = new WeakSet();

    constructor(recorder) {
        this.recorder = recorder;
        this.folder = mkdtempSync(join(tmpdir(), "ospreyreel-review-"));
        this.agent = new Agent({ keepAlive: true });
    }

    async start({ document, workers, instances, beforeStart }) {
        this.storeAddress = await this.store.start();
        for (const opts of workers) {
            const worker = opts.createWorker?.() ?? new PlatformTargetStandIn(opts);
            await worker.start();
            this.workers.push(worker);
            this.store.put(...worker.getEntry());
        }
        this.store.put("op/config", document);
        const ports = await getFreePorts(instances.length * PORTS_EACH);
        const addresses = ports.map(port => `127.0.0.1:${port}`);
        const seeds = instances.map((_, at) => addresses[at * PORTS_EACH + 3]).slice(0, 3);
        instances.forEach((opts, at) => this.addInstance(opts, addresses.slice(at * PORTS_EACH), seeds));
        await beforeStart?.();
        this.instances.forEach(instance => instance.start());
        await this.awaitReady();
    }

    addInstance(opts, [callers, readiness, directory, peer, metrics, handoff], seeds) {
        const settings = {
            region: "guj-west",
            ...{ callers, readiness, directory, peer, metrics, handoff },
            sharedKey: "ospreyreel-fleet",
            seeds,
            kv: { address: this.storeAddress },
            retries: { ratio: 0.2, windowS: 10, slack: 56 },
            processor: { cores: 1, share: 0.675 },
            stopWithinS: 8,
            addressTtlS: 1,
            ...opts,
        };
        this.instances.push(new Instance(settings, this.folder));
    }

    async awaitReady(instances = this.instances, timeoutMs = 20_000) {
        const endsAtMs = performance.now() + timeoutMs;
        for (const instance of instances) {
            while (!await instance.isReady()) {
                if (performance.now() > endsAtMs) {
                    throw new Error(`${instance.name} is not ready`);
                }
                await sleep(100);
            }
        }
    }

    /** The instance that lists a budget as its own, among those given. */
    async findOwner(budget, instances) {
        for (const instance of instances) {
            const state = await instance.readState();
            if (state?.budgets.some(view => view.budget === budget) === true) {
                return instance;
            }
        }
        return undefined;
    }

    /** Sends a request as a client does, and reads the whole answer. */
    send(instance, { path, method = "POST", headers = {}, body = "question", agent = this.agent }) {
        this.attempts += 1;
        const id = `attempt-${this.attempts}`;
        const [host, port] = instance.settings.callers.split(":");
        const all = { "Host": HOST, "Attempt-Id": id, "Deadline-Ms": "4000", ...headers };
        this.recorder.add(`sent ${id} to ${instance.name}: ${method} ${path}`);
        return new Promise(resolve => {
            const end = answer => {
                this.recorder.add(`answer to ${id}: ${answer.status} ${answer.isWhole ? "whole" : "cut"}`);
                resolve({ id, isKept: req.reusedSocket, ...answer });
            };
            const req = request({ host, port, path, method, headers: all, agent }, res => {
                let text = "";
                res.setEncoding("utf8").on("data", part => text += part);
                // Without a length, the parser takes a reset for the end.
                res.on("close", () =>
                    end({
                        status: res.statusCode,
                        headers: res.headers,
                        body: text,
                        isWhole: res.complete && !this.reset.has(req.socket),
                    }));
                res.on("error", () => undefined);
            });
            req.on("socket", socket => this.watch(socket));
            req.setTimeout(6_000, () => req.destroy());
            req.on("error", () => end({ status: 0, headers: {}, body: "", isWhole: false }));
            req.end(body);
        });
    }

    /** Remembers whether a client's channel was reset. */
    watch(socket) {
        if (!this.watched.has(socket)) {
            this.watched.add(socket);
            socket.on("error", () => this.reset.add(socket));
        }
    }

    /** Records what the workers ran. */
    recordRuns() {
        for (const { id, target, path, end } of this.workers.flatMap(worker => worker.ran)) {
            this.recorder.add(`ran ${id} at ${target}: ${path} ${end?.how ?? "running"}`);
        }
    }

    async close() {
        for (const { child, ended } of this.instances) {
            if (child !== undefined) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
                await ended;
            }
        }
        this.agent.destroy();
        await Promise.all([...this.workers, this.store].map(part => part.close()));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Runs a case in its folder; it returns whether the rule held. */
export const runCase = async (folder, play) => {
    const recorder = new Recorder(folder);
    const deployment = new Deployment(recorder);
    let code = EXIT.notRun;
    process.once("exit", () => deployment.instances.forEach(({ child }) => child?.kill("SIGKILL")));
    const timer = setTimeout(() => {
        recorder.add("the run takes too long");
        recorder.save();
        process.exit(EXIT.notRun);
    }, MAX_RUN_MS);
    try {
        const held = await play(deployment, recorder);
        code = held === undefined ? EXIT.notRun : held ? EXIT.held : EXIT.broken;
    }
    catch (err) {
        recorder.add(`the case could not run: ${err instanceof Error ? err.stack : String(err)}`);
    }
    deployment.recordRuns();
    const { SAVE_LOGS: logs } = process.env;
    if (logs !== undefined) {
        deployment.instances.forEach(({ name, logLines }) =>
            writeFileSync(join(logs, `${name}.log`), logLines.join("\n"))
        );
    }
    await deployment.close();
    clearTimeout(timer);
    recorder.add(`exit code ${code}`);
    recorder.save();
    process.exit(code);
};
