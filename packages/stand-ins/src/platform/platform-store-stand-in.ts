import type { IncomingMessage, ServerResponse } from "node:http";
import { type JsonServer, parseJson, readText, sendJson, startJsonServer } from "../http-json/json-server.js";
import { type StoreCopy, StoreItems, type StoreTxn } from "./store-items.js";

/** What the store does wrong at the moment. */
export interface StoreFaults {
    /** Answers nothing. */
    silent: boolean;
    /** Turns every call away with 503. */
    busy: boolean;
    /** Writes and then cuts the connection. */
    losesReplies: boolean;
    /** Writes take effect this much later and are not answered, in milliseconds; 0 for none. */
    lateMs: number;
}

const NO_FAULTS: StoreFaults = { silent: false, busy: false, losesReplies: false, lateMs: 0 };

const PAGE_ITEMS = 500;

/** Changes a value, in base64, for the callers of a view. */
export type RewriteValue = (key: string, value: string) => string;

const keepValue: RewriteValue = (_key, value) => value;

const rewriteItem = <T extends { readonly key: string; readonly value: string; }>(
    item: T,
    rewrite: RewriteValue,
): T => ({
    ...item,
    value: rewrite(item.key, item.value),
});

/** The store of the users' platform, by its published protocol. */
export class PlatformStoreStandIn {
    readonly items = new StoreItems();
    readonly faults: StoreFaults = { ...NO_FAULTS };
    /** Calls by kind. */
    readonly calls = new Map<string, number>();
    private server: JsonServer | undefined;
    private readonly views: JsonServer[] = [];
    /** Rises by one with each restart from an older copy. */
    private era = 1;

    /** Listens on a free port; returns IP:PORT. */
    async start(): Promise<string> {
        this.server = await startJsonServer((req, res) => this.answer(req, res, keepValue));
        return `${this.server.address.host}:${this.server.address.port}`;
    }

    /** Listens on one more free port, on which values are read with a change; returns IP:PORT. */
    async openView(rewrite: RewriteValue): Promise<string> {
        const view = await startJsonServer((req, res) => this.answer(req, res, rewrite));
        this.views.push(view);
        return `${view.address.host}:${view.address.port}`;
    }

    /** Stops listening. */
    async close(): Promise<void> {
        const servers = [this.server, ...this.views].filter(server => server !== undefined);
        await Promise.all(servers.map(server => server.close()));
    }

    /** Ends all faults. */
    endFaults(): void {
        Object.assign(this.faults, NO_FAULTS);
    }

    /** Cuts all connections; new ones are accepted. */
    cutConnections(): void {
        [this.server, ...this.views].forEach(server => server?.cutConnections());
    }

    /** Continues from an older copy; what was written since is lost. */
    restore(copy: StoreCopy): void {
        this.era += 1;
        this.items.restore(copy);
    }

    /** Writes JSON under a key, as operators and targets do. */
    put(key: string, value: unknown): void {
        this.putBytes(key, Buffer.from(JSON.stringify(value)));
    }

    /** Writes bytes under a key. */
    putBytes(key: string, value: Buffer): void {
        this.items.apply({ expectedRevision: [], puts: [{ key, value: value.toString("base64") }], remove: [] });
    }

    /** Removes a key. */
    remove(key: string): void {
        this.items.apply({ expectedRevision: [], puts: [], remove: [key] });
    }

    private async answer(req: IncomingMessage, res: ServerResponse, rewrite: RewriteValue): Promise<void> {
        res.setHeader("Store-Era", String(this.era));
        const url = new URL(req.url ?? "/", "http://store");
        const body = parseJson(await readText(req));
        this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
        if (this.faults.silent) {
            return;
        }
        if (this.faults.busy) {
            sendJson(res, 503, {});
            return;
        }
        switch (url.pathname) {
            case "/ospreyreel/kv-key":
                return this.answerKey(url, res, rewrite);
            case "/ospreyreel/kv-range":
                return this.answerRange(url, res, rewrite);
            case "/ospreyreel/kv-watch":
                return await this.answerWatch(url, res, rewrite);
            case "/ospreyreel/kv-txn":
                return this.answerTxn(body as StoreTxn, res);
            default:
                sendJson(res, 404, {});
        }
    }

    private answerKey(url: URL, res: ServerResponse, rewrite: RewriteValue): void {
        const item = this.items.get(url.searchParams.get("key") ?? "");
        const shown = item === undefined ? {} : rewriteItem(item, rewrite);
        sendJson(res, item === undefined ? 404 : 200, { ...shown, at: this.items.revision });
    }

    private answerRange(url: URL, res: ServerResponse, rewrite: RewriteValue): void {
        const after = url.searchParams.get("after") ?? "";
        const all = this.items.range(url.searchParams.get("prefix") ?? "").filter(item => item.key > after);
        const items = all.slice(0, PAGE_ITEMS).map(item => rewriteItem(item, rewrite));
        sendJson(res, 200, { items, hasMore: all.length > items.length, at: this.items.revision });
    }

    private async answerWatch(url: URL, res: ServerResponse, rewrite: RewriteValue): Promise<void> {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        const endsAtMs = performance.now() + Number(url.searchParams.get("waitMs"));
        let events = this.items.since(prefix, after);
        while (events?.length === 0 && performance.now() < endsAtMs && !res.destroyed) {
            await this.waitForChange(endsAtMs - performance.now());
            events = this.items.since(prefix, after);
        }
        if (this.faults.silent) {
            return;
        }
        const shown = events?.map(event => "value" in event ? rewriteItem(event, rewrite) : event);
        sendJson(res, events === undefined ? 410 : 200, { events: shown, at: this.items.revision });
    }

    private waitForChange(ms: number): Promise<void> {
        return new Promise(resolve => {
            const end = (): void => {
                clearTimeout(timer);
                this.items.changes.off("change", end);
                resolve();
            };
            const timer = setTimeout(end, Math.max(1, ms));
            this.items.changes.once("change", end);
        });
    }

    private answerTxn(txn: StoreTxn, res: ServerResponse): void {
        if (this.faults.lateMs > 0) {
            setTimeout(() => this.items.apply(txn), this.faults.lateMs);
            return;
        }
        const done = this.items.apply(txn);
        if (this.faults.losesReplies) {
            res.destroy();
            return;
        }
        if (done) {
            sendJson(res, 200, { revision: this.items.revision });
            return;
        }
        const items = txn.expectedRevision.map(({ key }) => this.items.get(key)).filter(item => item !== undefined);
        sendJson(res, 412, { items, at: this.items.revision });
    }
}
