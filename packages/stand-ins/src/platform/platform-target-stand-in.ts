import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type JsonServer, readText, startJsonServer } from "../http-json/json-server.js";

/** A request that a target ran. */
export interface RunRequest {
    readonly id: string;
    readonly team: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly waitsMs: number;
    readonly hadKey: boolean;
    /** Ids of the prompt's parts. */
    readonly parts: readonly string[];
    /** Monotonic time of its arrival, in milliseconds. */
    readonly atMs: number;
}

/** How a target works. */
export interface PlatformTargetOptions {
    readonly id: string;
    readonly service: string;
    readonly zone?: string;
    /** Events of a stream; 0 for a plain service. */
    readonly events?: number;
    /** Time for each event or for the whole answer, in milliseconds. */
    readonly stepMs?: number;
    /** Crashes the target when it begins an answer to a prompt with this part. */
    readonly deadlyPart?: string;
    /** Time from a crash to the next start, in milliseconds. */
    readonly downMs?: number;
}

/** Time from a crash to the next start where none is given, in milliseconds. */
const DEFAULT_DOWN_MS = 1_500;

/** A worker of the users' platform, by its published protocol. */
export class PlatformTargetStandIn {
    readonly ran: RunRequest[] = [];
    /** Monotonic times of its crashes, in milliseconds. */
    readonly crashedAtMs: number[] = [];
    /** Called after each start that follows a crash. */
    onRestart: () => void = () => undefined;
    private server: JsonServer | undefined;
    private stopped = false;
    /** Unix time of this start in milliseconds; tells it from earlier ones under the same id. */
    private born = 0;

    constructor(private readonly opts: PlatformTargetOptions) {}

    /** Listens on a free port. */
    async start(): Promise<void> {
        this.stopped = false;
        this.server = await startJsonServer((req, res) => this.answer(req, res));
        this.born = Math.max(Date.now(), this.born + 1);
    }

    /** Stops listening and cuts what runs. */
    async close(): Promise<void> {
        this.stopped = true;
        await this.server?.close();
    }

    /** Resets all connections, refuses new ones for a time and starts again. */
    async crash(): Promise<void> {
        const { server } = this;
        if (server === undefined) {
            return;
        }
        this.server = undefined;
        this.crashedAtMs.push(performance.now());
        await server.close();
        await sleep(this.opts.downMs ?? DEFAULT_DOWN_MS);
        if (!this.stopped) {
            await this.start();
            this.onRestart();
        }
    }

    /** Key and value of its entry in the store. */
    getEntry(state: "ready" | "draining" = "ready"): readonly [string, unknown] {
        const { id, service, zone = "zone-a" } = this.opts;
        const address = `${this.server?.address.host}:${this.server?.address.port}`;
        return [`servers/${id}`, {
            service,
            address,
            zone,
            version: "v1",
            slots: 8,
            state,
            coldRemainingMs: 0,
            seq: 1,
            born: this.born,
        }];
    }

    private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readText(req);
        const id = String(req.headers["attempt-id"]);
        if (req.headers["expect-instance"] !== this.opts.id) {
            res.writeHead(421, { "Instance-Id": this.opts.id }).end();
            return;
        }
        const parts = String(req.headers["prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0] ?? "");
        this.ran.push({
            id,
            team: req.headers["tenant"]?.toString(),
            path: req.url ?? "",
            body,
            waitsMs: Number(req.headers["deadline-ms"]),
            hadKey: req.headers.authorization !== undefined,
            parts,
            atMs: performance.now(),
        });
        const { events = 0, stepMs = 2, deadlyPart } = this.opts;
        const headers = { "Attempt-Id": id, "Response-Seal": `seal-${this.opts.id}` };
        if (events === 0) {
            await sleep(stepMs);
            res.writeHead(200, headers).end(`answer to ${id}`);
            return;
        }
        res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        for (let at = Number(req.headers["last-event-id"] ?? 0) + 1; at <= events; at++) {
            await sleep(stepMs);
            if (deadlyPart !== undefined && parts.slice(0, -1).includes(deadlyPart)) {
                await this.crash();
                return;
            }
            res.write(`id: ${at}\ndata: ${id}\n\n`);
        }
        res.end();
    }
}
