import type { KvEvent } from "@ospreyreel/kv";
import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { fromEvent } from "most";
import { EventEmitter } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { createDocument } from "../fixtures/documents.js";
import { MemoryLog } from "../fixtures/memory-log.js";
import { DocumentCodec } from "./document-codec.js";
import { DocumentFollower } from "./document-follower.js";
import { DocumentHolder } from "./document-holder.js";
import type { RelayDocument } from "./relay-document.js";

/** A change must be active within two seconds, in milliseconds. */
const MAX_PROPAGATION_MS = 2_000;

/** Documents as JSON, of which only the version is written. */
class JsonDocumentCodec extends DocumentCodec {
    override readonly prefix = "op/";

    override isDocumentKey(key: string): boolean {
        return key === "op/document";
    }

    override getEvacuatedZone(): string | undefined {
        return undefined;
    }

    override decode(bytes: Uint8Array): RelayDocument | undefined {
        const { version } = JSON.parse(Buffer.from(bytes).toString()) as { readonly version: number; };
        return createDocument({ version });
    }
}

const encode = (version: number): Buffer => Buffer.from(JSON.stringify({ version }));

const createFollower = (network: MemoryNetwork, instance: string) => {
    const hub = network.createHub(instance);
    const holder = new DocumentHolder();
    const events = new EventEmitter();
    const log = new MemoryLog();
    const watch = () => fromEvent<KvEvent>("event", events);
    new DocumentFollower({ watch, hub, codec: new JsonDocumentCodec(), holder, log }).start();
    const write = (version: number): void => {
        const entry = { key: "op/document", value: encode(version), modRevision: version };
        events.emit("event", { kind: "put", entry } satisfies KvEvent);
    };
    return { hub, holder, log, write };
};

const awaitVersion = async (holder: DocumentHolder, version: number): Promise<number> => {
    const startedAtMs = performance.now();
    while (holder.version !== version && performance.now() - startedAtMs < 2 * MAX_PROPAGATION_MS) {
        await sleep(10);
    }
    return performance.now() - startedAtMs;
};

/** Two instances of which only the first reads the KV service; each response to the second takes its time. */
const createPair = async (delayMs: number) => {
    const network = new MemoryNetwork();
    const first = createFollower(network, "first");
    const second = createFollower(network, "second");
    second.hub.input.delayMs = delayMs;
    // The streams are subscribed to in the next turn.
    await sleep(10);
    return { network, first, second };
};

for (const afterMs of [150, 600]) {
    test(`a document that a peer announces ${afterMs} ms after an older one is fetched as well`, async t => {
        const { first, second } = await createPair(300);
        first.write(1);
        await sleep(afterMs);
        first.write(2);
        t.true(await awaitVersion(second.holder, 2) < MAX_PROPAGATION_MS);
    });
}

test("a document reaches an instance to which a peer's response takes longer than half a second", async t => {
    const { first, second } = await createPair(900);
    first.write(1);
    t.true(await awaitVersion(second.holder, 1) < MAX_PROPAGATION_MS);
});

test("a document that the watch brings is not transferred from a peer as well", async t => {
    const { first, second } = await createPair(0);
    first.write(1);
    await sleep(100);
    second.write(1);
    await sleep(MAX_PROPAGATION_MS / 2);
    t.is(second.holder.version, 1);
    t.is(second.hub.input.deliveredBytes, 0);
});

test("a peer that does not respond is passed over", async t => {
    const { network, first, second } = await createPair(0);
    const silent: MemoryHub = network.createHub("silent");
    silent.handle("relay.document", () => Promise.reject(new Error("no document")));
    silent.updateSelf({ configRevision: 1 });
    first.write(1);
    t.true(await awaitVersion(second.holder, 1) < MAX_PROPAGATION_MS);
});
