import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { KvChangeReader, type KvChanges, type KvSnapshot } from "./kv-change-reader.js";
import type { KvEvent } from "./kv-event.js";
import { watchByPolling } from "./polling-kv-watch.js";

type Call = "all" | number;

/** A service whose calls have the given outcomes in turn, and then wait for changes. */
class ScriptedReader extends KvChangeReader {
    readonly calls: Call[] = [];

    constructor(private readonly outcomes: ("fails" | "changed" | "older copy")[]) {
        super();
    }

    override readAll(): Promise<KvSnapshot> {
        this.calls.push("all");
        return Promise.resolve({ entries: [], at: this.calls.length });
    }

    override async readChanges(_prefix: string, after: number, waitMs: number): Promise<KvChanges | undefined> {
        this.calls.push(waitMs);
        switch (this.outcomes.shift()) {
            case "fails":
                throw new Error("no response");
            case "older copy":
                return undefined;
            case "changed":
                return { changes: [{ kind: "delete", key: "k", revision: after + 1 }], at: after + 1 };
            case undefined:
                return await new Promise(() => undefined);
        }
    }
}

/** Watches until a number of calls was made; returns them. */
const watch = async (outcomes: ("fails" | "changed" | "older copy")[], count: number): Promise<readonly Call[]> => {
    const reader = new ScriptedReader(outcomes);
    const closed = new AbortController();
    const events: KvEvent[] = [];
    void watchByPolling({ reader, prefix: "p", closed: closed.signal }).observe(event => events.push(event));
    const endsAtMs = performance.now() + 10_000;
    while (reader.calls.length < count && performance.now() < endsAtMs) {
        await sleep(10);
    }
    closed.abort();
    return reader.calls;
};

test("a watch waits for changes", async t => {
    t.deepEqual(await watch(["changed"], 3), ["all", 2_000, 2_000]);
});

test("load pattern, a service that does not respond for a moment: the calls until it responds again do not wait", async t => {
    t.deepEqual(await watch(["fails", "fails", "changed"], 5), ["all", 2_000, 0, 0, 2_000]);
});

test("a service that came back from an older copy is read again by the first call that it answers", async t => {
    t.deepEqual(await watch(["fails", "older copy"], 5), ["all", 2_000, 0, "all", 2_000]);
});
