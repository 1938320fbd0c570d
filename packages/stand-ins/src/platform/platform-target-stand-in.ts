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
}

/** A worker of the users' platform, by its published protocol. */
export class PlatformTargetStandIn {
    readonly ran: RunRequest[] = [];
    private server: JsonServer | undefined;
    /** Unix time of this start in milliseconds; tells it from earlier ones under the same id. */
    private born = 0;

    constructor(private readonly opts: PlatformTargetOptions) {}

    /** Listens on a free port. */
    async start(): Promise<void> {
        this.server = await startJsonServer((req, res) => this.answer(req, res));
        this.born = Math.max(Date.now(), this.born + 1);
    }

    /** Stops listening and cuts what runs. */
    async close(): Promise<void> {
        await this.server?.close();
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
        this.ran.push({
            id,
            team: req.headers["tenant"]?.toString(),
            path: req.url ?? "",
            body,
            waitsMs: Number(req.headers["deadline-ms"]),
            hadKey: req.headers.authorization !== undefined,
        });
        const { events = 0, stepMs = 2 } = this.opts;
        const headers = { "Attempt-Id": id, "Response-Seal": `seal-${this.opts.id}` };
        if (events === 0) {
            await sleep(stepMs);
            res.writeHead(200, headers).end(`answer to ${id}`);
            return;
        }
        res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        for (let at = Number(req.headers["last-event-id"] ?? 0) + 1; at <= events; at++) {
            await sleep(stepMs);
            res.write(`id: ${at}\ndata: ${id}\n\n`);
        }
        res.end();
    }
}
