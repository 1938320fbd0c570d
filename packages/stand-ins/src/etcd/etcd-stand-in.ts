import type { Address } from "@ospreyreel/types";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readJson, writeJson } from "../common/json-body.js";
import { Listener } from "../common/listener.js";
import { type EtcdFaults, NO_ETCD_FAULTS, ReplyLoss } from "./etcd-faults.js";
import * as messages from "./etcd-messages.js";
import { type EtcdLimits, EtcdService } from "./etcd-service.js";

/** Calls that the stand-in has seen since its start. */
export interface EtcdCalls {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
    readonly errors: number;
}

/** Where and how the stand-in listens. */
export interface EtcdStandInOptions extends EtcdLimits {
    /** 0, a free one, by default. */
    readonly port?: number;
    /** Faults from the start on. */
    readonly faults?: Partial<EtcdFaults>;
}

const NOT_FOUND = 5;
const INTERNAL = 13;

/** Stands in for the platform's key-value service. */
export class EtcdStandIn {
    private readonly service: EtcdService;
    private readonly main = new Listener(createServer((req, res) => void this.serve(req, res)));
    private readonly control = new Listener(createServer((req, res) => void this.serveControl(req, res, true)));
    private readonly counts = { reads: 0, writes: 0, watches: 0, errors: 0 };
    private currentFaults = NO_ETCD_FAULTS;
    private replyLoss = new ReplyLoss(NO_ETCD_FAULTS);
    private mainAddress: Address = { host: "127.0.0.1", port: 0 };
    private controlAddress: Address = { host: "127.0.0.1", port: 0 };

    constructor(limits: EtcdLimits = {}) {
        this.service = new EtcdService(limits);
    }

    /** Where the gateway listens. */
    get address(): Address {
        return this.mainAddress;
    }

    /** Base URL of the gateway. */
    get url(): string {
        return `http://${this.mainAddress.host}:${this.mainAddress.port}`;
    }

    /** Where faults can be set also while the gateway is down. */
    get controlUrl(): string {
        return `http://${this.controlAddress.host}:${this.controlAddress.port}`;
    }

    /** Address of the control server. */
    get controlAt(): Address {
        return this.controlAddress;
    }

    /** Faults in force. */
    get faults(): EtcdFaults {
        return this.currentFaults;
    }

    /** Calls since the start. */
    get calls(): EtcdCalls {
        return { ...this.counts };
    }

    /** Watches whose connections are open. */
    get openWatches(): number {
        return this.service.openWatches;
    }

    /** Starts to listen. */
    async open(port: number): Promise<void> {
        this.mainAddress = await this.main.open(port);
        this.controlAddress = await this.control.open();
    }

    /** Changes the named faults and leaves the others. */
    async setFaults(change: Partial<EtcdFaults>): Promise<void> {
        this.currentFaults = { ...this.currentFaults, ...change };
        this.replyLoss = new ReplyLoss(this.currentFaults);
        this.service.publishing = !this.currentFaults.dropWatchEvents;
        await (this.currentFaults.down ? this.main.close() : this.main.open());
    }

    /** Stops listening and drops all data. */
    async close(): Promise<void> {
        this.service.close();
        await Promise.all([this.main.close(), this.control.close()]);
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.url?.startsWith("/stand-in/") === true) {
            await this.serveControl(req, res, false);
            return;
        }
        try {
            const body = await readJson(req);
            await this.delay();
            if (this.currentFaults.down) {
                res.destroy();
                return;
            }
            this.answer(req.url ?? "", body, res);
        }
        catch (err) {
            this.counts.errors += 1;
            const code = err instanceof messages.EtcdRefusal ? err.code : INTERNAL;
            const message = err instanceof Error ? err.message : String(err);
            writeJson(res, messages.toHttpStatus(code), { error: message, code, message });
        }
    }

    private async delay(): Promise<void> {
        if (this.currentFaults.stallMs > 0) {
            await sleep(this.currentFaults.stallMs);
        }
    }

    private answer(path: string, body: unknown, res: ServerResponse): void {
        if (path === "/v3/watch") {
            this.counts.watches += 1;
            this.service.watch(body as messages.WatchRequest, res);
        }
        else if (path === "/v3/kv/range") {
            this.counts.reads += 1;
            writeJson(res, 200, this.service.range(body as messages.RangeRequest));
        }
        else {
            this.counts.writes += 1;
            this.reply(res, this.write(path, body));
        }
    }

    private write(path: string, body: unknown): unknown {
        switch (path) {
            case "/v3/kv/txn":
                return this.service.txn(body as messages.TxnRequest);
            case "/v3/lease/grant":
                return this.service.grantLease(body as { TTL: string; });
            case "/v3/lease/keepalive":
                return this.service.renewLease(body as { ID: string; });
            case "/v3/lease/revoke":
                return this.service.revokeLease(body as { ID: string; });
            default:
                throw new messages.EtcdRefusal(NOT_FOUND, "Not Found");
        }
    }

    private reply(res: ServerResponse, answer: unknown): void {
        if (this.replyLoss.losesNext()) {
            this.counts.errors += 1;
            res.destroy();
            return;
        }
        writeJson(res, 200, answer);
    }

    private async serveControl(req: IncomingMessage, res: ServerResponse, staysUp: boolean): Promise<void> {
        if (req.url === "/stand-in/calls") {
            writeJson(res, 200, this.calls);
            return;
        }
        if (req.url !== "/stand-in/faults") {
            writeJson(res, 404, {});
            return;
        }
        const change = await readJson(req) as Partial<EtcdFaults>;
        if (staysUp || change.down !== true) {
            await this.setFaults(change);
            writeJson(res, 200, this.currentFaults);
            return;
        }
        // The answer goes first, since the connection it uses is one of those destroyed.
        res.once("finish", () => void this.setFaults(change));
        writeJson(res, 200, { ...this.currentFaults, ...change });
    }
}

/** Starts a key-value stand-in in this process. */
export const startEtcdStandIn = async (opts: EtcdStandInOptions = {}): Promise<EtcdStandIn> => {
    const standIn = new EtcdStandIn(opts);
    await standIn.open(opts.port ?? 0);
    await standIn.setFaults(opts.faults ?? {});
    return standIn;
};
