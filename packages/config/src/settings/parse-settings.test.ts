import { hasResult, type OspreyError } from "@ospreyreel/errors";
import test from "ava";
import { parseSettings, readSettings } from "./parse-settings.js";

const SECRET = "hunter2-hunter2";

const createSettings = () => ({
    instance: "entry-1",
    availabilityZone: "zone-a",
    region: "region-a",
    caller: { host: "127.0.0.1", port: 8080 },
    operator: { host: "127.0.0.1", port: 8081, token: SECRET },
    peer: { host: "::1", port: 0, sharedKey: SECRET },
    kv: { endpoints: ["http://127.0.0.1:2379"] },
    instanceList: { url: "http://127.0.0.1:2400/instances?all=true" },
});

const getFaults = (text: string): readonly string[] => {
    try {
        parseSettings(text, "entry.jsonc");
        return [];
    }
    catch (err) {
        return hasResult(err, "invalidSettings") ? err.details : [String(err)];
    }
};

test("defaults are filled in", t => {
    const settings = parseSettings(`// the first entry\n${JSON.stringify(createSettings())}`, "entry.jsonc");
    t.deepEqual(settings, {
        ...createSettings(),
        kv: { endpoints: ["http://127.0.0.1:2379"], prefix: "/ospreyreel", deadlineMs: 1000 },
        instanceList: { ...createSettings().instanceList, pollMs: 1000 },
        metrics: undefined,
        fleet: { heartbeatMs: 500, peerTimeoutMs: 2000, sealAfterMs: 3000, addressTtlS: 10, staleAfterS: 60 },
        ledger: { shards: 16, flushIntervalMs: 1000, billWindowS: 900, drawTimeoutMs: 2000 },
        orders: { loadsPerS: 1, loadBurst: 2, leaseTtlS: 10, marginMs: 2000, maxOrderDelayMs: 5000 },
        limits: {
            maxBodyBytes: 1_048_576,
            maxHeldBytes: 134_217_728,
            maxAnswerBytes: 16_777_216,
            maxHeaderBytes: 16_384,
            bodyTimeoutMs: 10_000,
            stallTimeoutMs: 30_000,
            maxQueued: 256,
        },
    });
});

test("every fault is reported with file, line, column and path, without secrets", t => {
    const { region, ...rest } = createSettings();
    const settings = {
        ...rest,
        regions: region,
        caller: { host: "localhost", port: "8080" },
        operator: { host: "127.0.0.1", port: 8081, token: SECRET, tokens: SECRET },
        peer: { host: "127.0.0.1", port: 70_000, sharedKey: [SECRET] },
    };
    const faults = getFaults(JSON.stringify(settings, undefined, 1));
    t.deepEqual(faults, [
        "entry.jsonc:1:1 $.region: missing",
        "entry.jsonc:5:3 $.caller.host: must be an IP number, not a name",
        "entry.jsonc:6:3 $.caller.port: must be integer",
        "entry.jsonc:12:3 $.operator.tokens: unknown key",
        "entry.jsonc:16:3 $.peer.port: must be <= 65535",
        "entry.jsonc:17:3 $.peer.sharedKey: must be string",
        "entry.jsonc:29:2 $.regions: unknown key",
    ]);
    t.notRegex(faults.join("\n"), new RegExp(SECRET));
});

test("timing settings that contradict each other are rejected", t => {
    const fleet = { heartbeatMs: 2000, peerTimeoutMs: 2000, sealAfterMs: 1000 };
    t.is(getFaults(JSON.stringify({ ...createSettings(), fleet })).length, 2);
    const orders = { leaseTtlS: 5, marginMs: 5000 };
    t.is(getFaults(JSON.stringify({ ...createSettings(), orders })).length, 1);
});

test("an unreadable settings file is reported as invalidSettings", async t => {
    const err = await t.throwsAsync(readSettings("does-not-exist.jsonc"));
    t.true(hasResult(err, "invalidSettings"));
    t.deepEqual((err as OspreyError).details, ["does-not-exist.jsonc:1:1 $: cannot be read: ENOENT"]);
});
