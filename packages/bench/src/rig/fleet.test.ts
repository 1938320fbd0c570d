import type { OperatorsDocument, Target } from "@ospreyreel/config";
import test from "ava";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Fleet } from "./fleet.js";
import { startFleet } from "./start-fleet.js";

const KEY = "key-of-alpha";
/** Below the limit of one call, and long beside the time that meeting the peers takes. */
const SLOW_KV_MS = 400;

const createDocument = (targets: readonly Target[]): OperatorsDocument => ({
    teams: [{
        name: "alpha",
        budget: "alpha",
        keys: [{ id: "first", sha256: createHash("sha256").update(KEY).digest("hex") }],
    }],
    budgets: [{ name: "alpha", topUps: [{ id: "first", tokens: 100_000 }] }],
    targets,
    offerings: [{ name: "drafts", kind: "model", model: "reader", maxTokens: 64, targets: ["engine-1"] }],
    rules: [{ name: "drafts", teams: ["*"], asks: "reader", routes: [{ offering: "drafts", share: 1 }] }],
});

/** The answer's status, with its text where it is not the whole answer. */
const complete = async (fleet: Fleet, index: number): Promise<string> => {
    const res = await request(`${fleet.instance(index).callerUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${KEY}`, "content-type": "application/json" },
        body: JSON.stringify({ model: "reader", messages: [{ role: "user", content: "len=3" }] }),
    });
    const text = await res.body.text();
    return res.statusCode === 200 ? "200" : `${res.statusCode} ${text}`;
};

const awaitPeers = async (fleet: Fleet, index: number, names: readonly string[]): Promise<void> => {
    for (;;) {
        const { peers } = await fleet.instance(index).operator.getStatus();
        if (peers.map(peer => peer.instance).sort().join() === names.join()) {
            return;
        }
        await sleep(50);
    }
};

const startSmallFleet = (cleanup: Parameters<typeof startFleet>[0]["cleanup"] & object): Promise<Fleet> =>
    startFleet({
        cleanup,
        createDocument,
        withLinks: true,
        targets: [{ name: "engine-1", kind: "engine", availabilityZone: "zone-a" }],
        settings: { fleet: { heartbeatMs: 100, peerTimeoutMs: 1000, sealAfterMs: 2000, addressTtlS: 1 } },
    });

test("a fleet serves on every instance and stops gracefully", async t => {
    const fleet = await startSmallFleet(t);
    t.deepEqual(await Promise.all([0, 1, 2].map(index => complete(fleet, index))), ["200", "200", "200"]);
    t.deepEqual(await fleet.instance(1).stop(), { code: 0, signal: undefined });
    t.true((await fleet.platform.getKvCalls()).writes > 0);
});

test("a fleet is parted and healed, and an instance is killed and restarted", async t => {
    const fleet = await startSmallFleet(t);
    await awaitPeers(fleet, 0, ["instance-1", "instance-2"]);
    await fleet.partition([0], [1, 2]);
    await Promise.all([awaitPeers(fleet, 0, []), awaitPeers(fleet, 1, ["instance-2"])]);
    await fleet.heal();
    await awaitPeers(fleet, 0, ["instance-1", "instance-2"]);
    fleet.freeze(2);
    await awaitPeers(fleet, 0, ["instance-1"]);
    fleet.thaw(2);
    await awaitPeers(fleet, 0, ["instance-1", "instance-2"]);
    await fleet.kill(2);
    await awaitPeers(fleet, 0, ["instance-1"]);
    await fleet.restart(2);
    await awaitPeers(fleet, 0, ["instance-1", "instance-2"]);
    t.is(await complete(fleet, 2), "200");
});

test("an instance restarted while the key-value service is slow can reserve for its first request", async t => {
    const fleet = await startSmallFleet(t);
    await awaitPeers(fleet, 0, ["instance-1", "instance-2"]);
    await fleet.kill(2);
    await awaitPeers(fleet, 0, ["instance-1"]);
    await fleet.platform.setKvFaults({ stallMs: SLOW_KV_MS });
    await fleet.restart(2);
    t.is(await complete(fleet, 2), "200");
});
