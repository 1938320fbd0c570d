import type { Address, InstanceList } from "@ospreyreel/types";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { readJson, writeJson } from "../common/json-body.js";
import { Listener } from "../common/listener.js";

/** Where the stand-in listens and how far it lags. */
export interface InstanceListStandInOptions {
    /** 0, a free one, by default. */
    readonly port?: number;
    /** Time after which a replacement is visible; 0 by default. */
    readonly lagMs?: number;
    /** List at the start; empty by default. */
    readonly list?: InstanceList;
}

const EMPTY_LIST: InstanceList = { instances: [], targets: [] };

/** Stands in for the platform's list of live and leaving machines. */
export class InstanceListStandIn {
    private readonly listener = new Listener(createServer((req, res) => void this.serve(req, res)));
    private readonly lagMs: number;
    private readonly timers = new Set<NodeJS.Timeout>();
    private visible: InstanceList;
    private bound: Address = { host: "127.0.0.1", port: 0 };

    constructor(opts: InstanceListStandInOptions = {}) {
        this.lagMs = opts.lagMs ?? 0;
        this.visible = opts.list ?? EMPTY_LIST;
    }

    /** Where the list is served. */
    get address(): Address {
        return this.bound;
    }

    /** Base URL; the list is at `/v1/list`. */
    get url(): string {
        return `http://${this.bound.host}:${this.bound.port}`;
    }

    /** Starts to listen. */
    async open(port: number): Promise<void> {
        this.bound = await this.listener.open(port);
    }

    /** Replaces the list; callers see it after the lag. */
    replace(list: InstanceList): void {
        if (this.lagMs === 0) {
            this.visible = list;
            return;
        }
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.visible = list;
        }, this.lagMs);
        this.timers.add(timer);
    }

    /** Stops listening; replacements that wait are dropped. */
    async close(): Promise<void> {
        this.timers.forEach(timer => clearTimeout(timer));
        await this.listener.close();
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.method === "GET" && req.url === "/v1/list") {
            writeJson(res, 200, this.visible);
        }
        else if (req.method === "POST" && req.url === "/stand-in/list") {
            this.replace(await readJson(req) as InstanceList);
            writeJson(res, 200, {});
        }
        else {
            writeJson(res, 404, {});
        }
    }
}

/** Starts an instance list in this process. */
export const startInstanceListStandIn = async (
    opts: InstanceListStandInOptions = {},
): Promise<InstanceListStandIn> => {
    const standIn = new InstanceListStandIn(opts);
    await standIn.open(opts.port ?? 0);
    return standIn;
};
