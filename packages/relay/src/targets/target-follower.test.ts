import { KvHealth, toRevision } from "@ospreyreel/kv";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { just } from "most";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import { TargetCodec } from "./target-codec.js";
import { TargetDirectory } from "./target-directory.js";
import { TargetFollower } from "./target-follower.js";
import type { Target } from "./target.js";

const TARGET: Target = {
    id: "t1",
    service: "service-1",
    version: "v1",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    slots: 4,
    leaving: false,
    startedAtMs: 1_000,
};

/** Takes each entry for the same start of the target. */
class SameStartCodec extends TargetCodec {
    override readonly prefix = "targets/";

    override getTargetId(key: string): string {
        return key.slice(this.prefix.length);
    }

    override decode(): Target {
        return TARGET;
    }
}

// The watch does not tell that an entry was written again where nothing else has changed.
test("a target whose entry had lapsed is used soon after it has written it again to a KV service that came back from a copy", async t => {
    const directory = new TargetDirectory();
    directory.put(TARGET, 10);
    directory.remove(TARGET.id);
    const copied = { key: "targets/t1", value: Buffer.alloc(0), modRevision: toRevision(1, 8) };
    let stored = copied;
    const follower = new TargetFollower({
        watch: () => just({ kind: "put", entry: copied }),
        get: () => Promise.resolve(stored),
        health: new KvHealth(),
        hub: new MemoryNetwork().createHub("a"),
        codec: new SameStartCodec(),
        directory,
        log: new MemoryLog(),
        reannounceMs: 0,
    });
    follower.start();
    await sleep(1_200);
    t.deepEqual(directory.list(), []);
    stored = { ...copied, modRevision: toRevision(1, 9) };
    await sleep(1_200);
    t.deepEqual(directory.list().map(({ target }) => target.id), ["t1"]);
});
