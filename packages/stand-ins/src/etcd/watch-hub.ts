import type { ServerResponse } from "node:http";
import { inRange, type StoreChange, type StoredEntry } from "./etcd-store.js";

interface Watcher {
    readonly res: ServerResponse;
    readonly from: string;
    readonly end: string | undefined;
}

const toBase64 = (key: string): string => Buffer.from(key, "latin1").toString("base64");

/** One key as the gateway shows it; int64 fields are strings. */
export const toGatewayEntry = (entry: StoredEntry): Readonly<Record<string, string>> => ({
    key: toBase64(entry.key),
    value: entry.value,
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
    ...(entry.lease === "0" ? {} : { lease: entry.lease }),
});

const toGatewayEvent = (change: StoreChange): unknown => {
    if (change.kind === "put") {
        return { kv: toGatewayEntry(change.entry) };
    }
    return { type: "DELETE", kv: { key: toBase64(change.key), mod_revision: String(change.modRevision) } };
};

const keyOf = (change: StoreChange): string => change.kind === "put" ? change.entry.key : change.key;

/** Streams changes to open watches. */
export class WatchHub {
    private readonly watchers = new Set<Watcher>();

    /** Watches whose connections are open. */
    get open(): number {
        return this.watchers.size;
    }

    /** Opens a watch on a response that stays open. */
    add(res: ServerResponse, from: string, end: string | undefined, revision: number): void {
        const watcher: Watcher = { res, from, end };
        this.watchers.add(watcher);
        res.once("close", () => this.watchers.delete(watcher));
        res.writeHead(200, { "content-type": "application/json" });
        this.write(watcher, revision, { created: true });
    }

    /** Tells every watch of the changes in its range. */
    publish(changes: readonly StoreChange[], revision: number): void {
        for (const watcher of this.watchers) {
            const events = changes.filter(change => inRange(keyOf(change), watcher.from, watcher.end));
            if (events.length > 0) {
                this.write(watcher, revision, { events: events.map(toGatewayEvent) });
            }
        }
    }

    private write(watcher: Watcher, revision: number, body: Readonly<Record<string, unknown>>): void {
        watcher.res.write(`${JSON.stringify({ result: { header: { revision: String(revision) }, ...body } })}\n`);
    }
}
