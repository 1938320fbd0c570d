import { getFreePorts } from "@ospreyreel/stand-ins";
import test from "ava";
import { request } from "undici";
import { startFleetLinks } from "./fleet-links.js";
import { startPlatform, toUrl } from "./platform.js";
import { getScriptPath, toRedirectOptions } from "./redirects.js";
import { startProcess } from "./rig-process.js";

const KV_SCRIPT = getScriptPath("stand-ins/dist/etcd/main.js");

test("a process tells its addresses and ends with status 0 on SIGTERM", async t => {
    const kv = await startProcess({ script: KV_SCRIPT, cleanup: t });
    t.is(kv.ready.role, "kv");
    t.is(kv.ready.pid, kv.pid);
    const res = await request(`${toUrl(kv.ready.control)}/stand-in/calls`);
    t.deepEqual(await res.body.json(), { reads: 0, writes: 0, watches: 0, errors: 0 });
    t.deepEqual(await kv.stop(), { code: 0, signal: undefined });
    t.false(kv.isRunning);
});

test("a killed process tells its signal", async t => {
    const kv = await startProcess({ script: KV_SCRIPT, cleanup: t });
    kv.kill("SIGKILL");
    t.deepEqual(await kv.exited, { code: undefined, signal: "SIGKILL" });
});

test("a frozen process can be stopped", async t => {
    const kv = await startProcess({ script: KV_SCRIPT, cleanup: t });
    kv.kill("SIGSTOP");
    t.deepEqual(await kv.stop(), { code: 0, signal: undefined });
});

test("a process that ends before it is ready is an error with what it wrote", async t => {
    const start = startProcess({ script: getScriptPath("stand-ins/dist/no-such-module.js"), cleanup: t });
    await t.throwsAsync(start, { message: /ended before it was ready \(1\).*no-such-module/s });
});

test("a platform starts its stand-ins and targets, and its faults are set while it is down", async t => {
    const platform = await startPlatform({
        targets: [
            { name: "engine-1", kind: "engine", availabilityZone: "zone-a", capacity: 2, checksFencing: true },
            { name: "service-1", kind: "service", availabilityZone: "zone-b" },
        ],
    });
    t.teardown(() => platform.stop());
    t.like(platform.targets.map(started => started.target), [
        { name: "engine-1", kind: "engine", availabilityZone: "zone-a", capacity: 2, checksFencing: true },
        { name: "service-1", kind: "service", availabilityZone: "zone-b", capacity: 8 },
    ]);
    await platform.setKvFaults({ down: true });
    await t.throwsAsync(request(toUrl(platform.kv.ready.address)), { code: "ECONNREFUSED" });
    await platform.setKvFaults({ down: false });
    await platform.publish({ instances: [], targets: [{ target: "engine-1", state: "leaving" }] });
    const res = await request(platform.listUrl);
    t.like(await res.body.json(), { targets: [{ target: "engine-1", state: "leaving" }] });
});

test("a process with redirects connects through the proxies and no longer once they are cut", async t => {
    const kv = await startProcess({ script: KV_SCRIPT, cleanup: t });
    const port = kv.ready.address?.port ?? 0;
    const [unusedPort = 0] = await getFreePorts(1);
    const links = await startFleetLinks([{ caller: unusedPort, peer: unusedPort }, { caller: port, peer: unusedPort }]);
    t.teardown(() => links.close());
    // The second proxy's own connections are redirected to the link, so a cut link shows at it.
    const second = await startProcess({
        script: getScriptPath("stand-ins/dist/fault-proxy/main.js"),
        args: ["--target", `127.0.0.1:${port}`],
        cleanup: t,
        ...toRedirectOptions(links.getRedirects(0)),
    });
    const url = `${toUrl(second.ready.address)}/stand-in/calls`;
    t.is((await request(url)).statusCode, 200);
    await links.setFaults([0], [1], { mode: "cut" });
    await t.throwsAsync(request(url));
    await links.setFaults([0], [1], { mode: "pass" });
    t.is((await request(url)).statusCode, 200);
    t.true(kv.isRunning);
});
