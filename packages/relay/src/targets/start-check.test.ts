import { MemoryKv } from "@ospreyreel/kv/fixtures";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import { pauseProcess } from "../fixtures/pause-process.js";
import { AnnouncedStartCheck } from "./start-check.js";
import { TargetCodec } from "./target-codec.js";
import { TargetDirectory } from "./target-directory.js";
import type { Target } from "./target.js";

const createTarget = (startedAtMs: number): Target => ({
    id: "t1",
    service: "service-1",
    version: "v1",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    slots: 4,
    leaving: false,
    startedAtMs,
});

/** Decodes a target's start from the text of its entry. */
class StartCodec extends TargetCodec {
    override readonly prefix = "targets/";

    override getTargetId(key: string): string {
        return key.slice(this.prefix.length);
    }

    override decode(_id: string, bytes: Uint8Array): Target {
        return createTarget(Number(Buffer.from(bytes).toString()));
    }
}

const createCheck = (viewAgeMs: number) => {
    const kv = new MemoryKv();
    const directory = new TargetDirectory();
    const log = new MemoryLog();
    const counts: string[] = [];
    const check = new AnnouncedStartCheck({
        kv,
        codec: new StartCodec(),
        directory,
        freshness: { ageMs: viewAgeMs },
        log,
        count: name => counts.push(name),
    });
    const announce = (startedAtMs: number): void => {
        kv.service.apply({ compares: [], puts: [{ key: "targets/t1", value: Buffer.from(String(startedAtMs)) }] });
    };
    directory.put(createTarget(1));
    announce(1);
    return { check, kv, directory, counts, announce };
};

test("a connection that is older than the view leads to the start that the view names", t => {
    const { check } = createCheck(100);
    const nowMs = performance.now();
    t.true(check.isCertain({ target: createTarget(1), connectedAtMs: nowMs - 200 }));
    t.false(check.isCertain({ target: createTarget(1), connectedAtMs: nowMs }));
    t.false(check.isCertain({ target: createTarget(1), connectedAtMs: undefined }));
    t.false(check.isCertain({ target: createTarget(2), connectedAtMs: nowMs - 200 }));
});

test("a target that has started again since the view was read is not taken for its earlier start", async t => {
    const { check, announce, counts } = createCheck(5_000);
    const responding = { target: createTarget(1), connectedAtMs: performance.now() };
    t.true(await check.verify(responding));
    announce(2);
    t.false(await check.verify(responding));
    t.deepEqual(counts, ["target_starts_verified", "target_starts_unknown"]);
});

test("a start is not known where the KV service is not reached", async t => {
    const { check, kv } = createCheck(5_000);
    kv.disconnect();
    t.false(await check.verify({ target: createTarget(1), connectedAtMs: performance.now() }));
});

// Guards against streams that end since the response of the KV service is read only after a pause of this instance.
test.serial("a start is known where the KV service responds in a pause of the process", async t => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const { kv, directory } = createCheck(5_000);
    const check = new AnnouncedStartCheck({
        kv: {
            get: async key => {
                // Opened by the kernel, also while the process is paused.
                const socket = connect(port, "127.0.0.1");
                await once(socket, "connect");
                socket.destroy();
                return await kv.get(key);
            },
        },
        codec: new StartCodec(),
        directory,
        freshness: { ageMs: 5_000 },
        log: new MemoryLog(),
        count: () => undefined,
    });
    // Expired timers run first after this turn.
    await nextTurn();
    const verified = check.verify({ target: createTarget(1), connectedAtMs: performance.now() });
    await new Promise<void>(resolve => process.nextTick(resolve));
    pauseProcess(600);
    t.true(await verified);
});
