// Small deployment for the cases 6 to 10: a store, workers, clients and instances on loopback addresses. Plain Node.js, nothing to build.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

export const HOST = "users.example";
const MAIN = ["--max-old-space-size=200", "--max-semi-space-size=4", "target/ospreyreel.cjs"];
/** Interval at which workers write their entries, in milliseconds. */
const HEARTBEAT_MS = 1_200;

/** Silence after which the store removes an entry, in milliseconds: three heartbeats. */
const LAPSE_MS = 3 * HEARTBEAT_MS;

const PORTS_EACH = 6;

const ROOT = resolve(import.meta.dirname, "..");

/** Processes of the instances, which are ended with this process, however it ends. */
const processes = new Set();
process.on("exit", () => processes.forEach(child => child.kill("SIGKILL")));
["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => process.exit(2)));

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === "0";

export const getFreePorts = async count => {
    const servers = [];
    for (let at = 0; at < count; at++) {
        const server = createTcpServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(done => server.close(done))));
    return ports;
};

/** Writes what was sent, answered and run. */
export class Record {
    constructor(folder) {
        this.file = join(folder, "record.txt");
        this.startedAt = performance.now();
        writeFileSync(this.file, "");
    }

    write(line) {
        appendFileSync(this.file, `${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${line}\n`);
    }
}

/** The platform's store: one revision counter, long polls, all-or-nothing transactions. */
export class Store {
    items = new Map();
    events = [];
    revision = 1;
    era = 1;
    waiting = new Set();
    /** Returns what to do with a call: undefined to serve it, or a delay in milliseconds, or "silent", or "busy". */
    onCall = () => undefined;
    /** Takes a transaction before it is applied. */
    onTxn = () => undefined;

    async start() {
        this.server = createServer((req, res) => void this.serve(req, res)).listen(0, "127.0.0.1");
        this.server.keepAliveTimeout = 60_000;
        await once(this.server, "listening");
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    put(key, value) {
        this.apply({ puts: [{ key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] });
    }

    remove(key) {
        this.apply({ remove: [key] });
    }

    apply({ expectedRevision = [], puts = [], remove = [] }) {
        if (expectedRevision.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            return false;
        }
        this.revision += 1;
        const { revision } = this;
        for (const { key, value } of puts) {
            const created = this.items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease: 0 };
            this.items.set(key, item);
            this.events.push(item);
        }
        for (const key of remove) {
            if (this.items.delete(key)) {
                this.events.push({ key, revision, removed: true });
            }
        }
        this.waiting.forEach(wake => wake());
        return true;
    }

    /** A copy of all items, from which the store can come back. */
    copy() {
        return { items: new Map(this.items), revision: this.revision };
    }

    /** Comes back from an older copy: what was written since is gone, and revisions are given out again. */
    restore({ items, revision }) {
        this.items = new Map(items);
        this.events = this.events.filter(event => event.revision <= revision);
        this.revision = revision;
        this.era += 1;
        this.server.closeAllConnections();
        this.waiting.forEach(wake => wake());
    }

    async serve(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const url = new URL(req.url, "http://store");
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
        const how = this.onCall(url, body, req.socket);
        if (how === "silent") {
            return;
        }
        if (how === "busy") {
            this.send(res, 503, {});
            return;
        }
        await sleep(how ?? 4);
        const get = name => url.searchParams.get(name) ?? "";
        if (url.pathname === "/ospreyreel/kv-key") {
            const item = this.items.get(get("key"));
            this.send(res, item === undefined ? 404 : 200, { ...item, at: this.revision });
        }
        else if (url.pathname === "/ospreyreel/kv-range") {
            const all = [...this.items.values()].filter(({ key }) =>
                key.startsWith(get("prefix")) && key > get("after")
            )
                .sort((a, b) => a.key < b.key ? -1 : 1);
            this.send(res, 200, { items: all.slice(0, 500), hasMore: all.length > 500, at: this.revision });
        }
        else if (url.pathname === "/ospreyreel/kv-watch") {
            if (Number(get("after")) > this.revision) {
                this.send(res, 410, {});
                return;
            }
            const endsAt = performance.now() + Number(get("waitMs"));
            const find = () =>
                this.events.filter(({ key, revision }) =>
                    key.startsWith(get("prefix")) && revision > Number(get("after"))
                );
            while (find().length === 0 && performance.now() < endsAt && !res.destroyed) {
                await new Promise(done => {
                    const wake = () => {
                        clearTimeout(timer);
                        this.waiting.delete(wake);
                        done();
                    };
                    const timer = setTimeout(wake, Math.max(1, endsAt - performance.now()));
                    this.waiting.add(wake);
                });
            }
            this.send(res, 200, { events: find(), at: this.revision });
        }
        else if (url.pathname === "/ospreyreel/kv-txn") {
            const isDone = this.apply(body);
            this.onTxn(body, isDone);
            const items = (body.expectedRevision ?? []).map(({ key }) => this.items.get(key)).filter(Boolean);
            this.send(
                res,
                isDone ? 200 : 412,
                isDone ? { revision: this.revision } : { items, at: this.revision },
            );
        }
        else {
            this.send(res, 404, {});
        }
    }

    send(res, status, value) {
        if (!res.destroyed) {
            res.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.era) }).end(
                JSON.stringify(value),
            );
        }
    }
}

/** A worker, which registers itself in the store; `serve` answers what it runs. */
export class Worker {
    runs = [];
    seq = 0;
    sockets = new Set();
    /** Whether it does not reach the store. */
    isCutOff = false;

    constructor({ id, service, zone = "zone-a", version = "v1", slots = 96, serve }) {
        Object.assign(this, { id, service, zone, version, slots, answer: serve });
    }

    async start(store) {
        this.store = store;
        await this.listen(0);
        this.announce();
        this.heartbeat = setInterval(() => this.announce(), HEARTBEAT_MS);
    }

    /** Ends the process of the worker: its connections are reset, and new ones refused. */
    async crash() {
        const closed = new Promise(done => this.server.close(done));
        this.sockets.forEach(socket => socket.resetAndDestroy());
        await closed;
    }

    /** Starts again under the same id and address. */
    async startAgain(version) {
        this.version = version;
        await this.listen(this.port);
        this.announce();
    }

    async listen(port) {
        this.born = Date.now();
        this.seq = 0;
        this.server = createServer((req, res) => void this.handle(req, res)).listen(port, "127.0.0.1");
        this.server.keepAliveTimeout = 10_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        await once(this.server, "listening");
        this.port = this.server.address().port;
    }

    announce() {
        if (!this.isCutOff) {
            this.writtenAt = performance.now();
            this.store.put(`servers/${this.id}`, this.getEntry());
        }
        else if (performance.now() - this.writtenAt > LAPSE_MS) {
            this.store.remove(`servers/${this.id}`);
        }
    }

    getEntry() {
        const { service, zone, version, slots, born } = this;
        const address = `127.0.0.1:${this.port}`;
        return { service, address, zone, version, slots, state: "ready", coldRemainingMs: 0, seq: this.seq++, born };
    }

    close() {
        clearInterval(this.heartbeat);
        this.server.close();
        this.server.closeAllConnections();
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const id = req.headers["attempt-id"];
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== this.id) {
            res.writeHead(421, { "Attempt-Id": id, "Instance-Id": this.id }).end();
            return;
        }
        const body = Buffer.concat(chunks).toString();
        const { version, born } = this;
        const run = {
            id,
            body,
            headers: req.headers,
            atMs: performance.now(),
            worker: this.id,
            start: { version, born },
        };
        this.runs.push(run);
        this.onRun?.(run);
        await this.answer(req, res, run);
    }
}

/** One instance, a process with the command of the deploy file. */
export class Instance {
    lines = [];

    constructor({ folder, name, zone, store, ports, seeds, cores = 1, settings = {} }) {
        const at = index => `127.0.0.1:${ports[index]}`;
        Object.assign(this, { name, callers: at(0), readiness: at(1), directory: at(2), peer: at(3), metrics: at(4) });
        this.file = join(folder, `${name}.json`);
        const listen = {
            callers: at(0),
            readiness: at(1),
            directory: at(2),
            peer: at(3),
            metrics: at(4),
            handoff: at(5),
        };
        writeFileSync(
            this.file,
            JSON.stringify({
                instance: name,
                availabilityZone: zone,
                region: "guj-west",
                zones: { "zone-a": "guj-west", "zone-b": "guj-west", "zone-c": "guj-west" },
                ...listen,
                sharedKey: "ospreyreel-fleet",
                seeds,
                kv: { address: store },
                retries: { ratio: 0.2, windowS: 10, slack: 56 },
                processor: { cores, share: 0.675 },
                stopWithinS: 8,
                addressTtlS: 1,
                ...settings,
            }),
        );
    }

    start() {
        this.process = spawn(process.execPath, MAIN, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, OSPREYREEL_SETTINGS: this.file, ROARR_LOG: "true" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        processes.add(this.process);
        this.exited = once(this.process, "exit");
        let rest = "";
        const take = chunk => {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop();
            this.lines.push(...lines);
            lines.forEach(line => this.onLine?.(line));
        };
        this.process.stdout.setEncoding("utf8").on("data", take);
        this.process.stderr.setEncoding("utf8").on("data", take);
    }

    signal(name) {
        this.process.kill(name);
    }

    async isReady() {
        const answer = await fetch(`http://${this.readiness}/ospreyreel/readiness`).catch(() => undefined);
        return answer?.status === 200;
    }

    async getState() {
        return await (await fetch(`http://${this.metrics}/state`)).json();
    }

    async end() {
        if (this.process.exitCode === null && this.process.signalCode === null) {
            this.process.kill("SIGCONT");
            this.process.kill("SIGKILL");
            await this.exited;
        }
    }
}

export const waitFor = async (check, ms, what) => {
    const endsAt = performance.now() + ms;
    while (!await check()) {
        if (performance.now() > endsAt) {
            throw new Error(`not in time: ${what}`);
        }
        await sleep(50);
    }
};

/** Store, workers and instances; `use` runs the case, after which everything is ended. */
export const withDeployment = async ({ document, workers, instances, seeds: seedCount = 3 }, use) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const store = new Store();
    const fleet = [];
    try {
        await store.start();
        store.put("op/config", document);
        await Promise.all(workers.map(worker => worker.start(store)));
        // All at once, so that none is given out twice.
        const all = await getFreePorts(PORTS_EACH * instances.length);
        const ports = instances.map((_, at) => all.slice(PORTS_EACH * at, PORTS_EACH * (at + 1)));
        const seeds = ports.slice(0, seedCount).map(own => `127.0.0.1:${own[3]}`);
        instances.forEach((opts, at) =>
            fleet.push(new Instance({ folder, store: store.address, ports: ports[at], seeds, ...opts }))
        );
        fleet.forEach(instance => instance.start());
        for (const instance of fleet) {
            await waitFor(() => instance.isReady(), 20_000, `${instance.name} ready`);
        }
        return await use({ store, fleet, workers, folder });
    }
    finally {
        await Promise.all(fleet.map(instance => instance.end()));
        workers.forEach(worker => worker.close());
        store.close();
        rmSync(folder, { recursive: true, force: true });
    }
};

/** Runs a case: exits with 1 if it returns broken rules, with 0 if there are none, and with 2 if it could not run. */
export const runCase = async main => {
    const limit = setTimeout(() => {
        process.stderr.write("the case takes too long\n");
        process.exit(2);
    }, 118_000);
    try {
        const broken = await main();
        clearTimeout(limit);
        process.exit(broken ? 1 : 0);
    }
    catch (err) {
        process.stderr.write(`${err.stack}\n`);
        process.exit(2);
    }
};

const parseHead = text => {
    const [first = "", ...lines] = text.split("\r\n");
    const headers = Object.fromEntries(
        lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]),
    );
    return { status: Number(first.split(" ")[1]), headers };
};

/** Takes the whole chunks of a chunked body; `isWhole` once the last one is there. */
const parseChunks = bytes => {
    const parts = [];
    let at = 0;
    for (;;) {
        const lineEnd = bytes.indexOf("\r\n", at);
        const size = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
        if (Number.isNaN(size) || bytes.length < lineEnd + 2 + size + 2) {
            return { body: Buffer.concat(parts), isWhole: false };
        }
        if (size === 0) {
            return { body: Buffer.concat(parts), isWhole: true };
        }
        parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        at = lineEnd + 2 + size + 2;
    }
};

/**
 * Sends one request on a new channel and reads its answer. `end` says how the channel ended for the client: `whole` where length or
 * chunks tell it, `closed` in order, `reset`, or `timeout`. A reset is told from an ordinary end by the address, which it takes away.
 */
export const ask = ({ address, id, method = "POST", path, key, body = "", headers = {}, waitMs = 4_000 }) =>
    new Promise(done => {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        const chunks = [];
        let result;
        const finish = end => {
            if (result === undefined) {
                clearTimeout(timer);
                const bytes = Buffer.concat(chunks);
                const headEnd = bytes.indexOf("\r\n\r\n");
                const head = headEnd === -1
                    ? { status: 0, headers: {} }
                    : parseHead(bytes.subarray(0, headEnd).toString());
                const raw = headEnd === -1 ? Buffer.alloc(0) : bytes.subarray(headEnd + 4);
                const isChunked = head.headers["transfer-encoding"] === "chunked";
                result = { id, ...head, body: (isChunked ? parseChunks(raw).body : raw).toString(), end, isChunked };
                socket.destroy();
                done(result);
            }
        };
        const timer = setTimeout(() => finish("timeout"), waitMs);
        socket.on("data", chunk => {
            chunks.push(chunk);
            const bytes = Buffer.concat(chunks);
            const headEnd = bytes.indexOf("\r\n\r\n");
            if (headEnd === -1) {
                return;
            }
            const { headers: received } = parseHead(bytes.subarray(0, headEnd).toString());
            const raw = bytes.subarray(headEnd + 4);
            const length = received["content-length"];
            const isWhole = length === undefined
                ? received["transfer-encoding"] === "chunked" && parseChunks(raw).isWhole
                : raw.length >= Number(length);
            if (isWhole) {
                finish("whole");
            }
        });
        socket.on("end", () => finish(socket.remoteAddress === undefined ? "reset" : "closed"));
        socket.on("error", () => finish("reset"));
        socket.on("close", () => finish("closed"));
        const lines = [
            `${method} ${path} HTTP/1.1`,
            `Host: ${HOST}`,
            `Attempt-Id: ${id}`,
            `Deadline-Ms: ${waitMs}`,
            ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
            ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
            ...(method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
        ];
        socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
    });
