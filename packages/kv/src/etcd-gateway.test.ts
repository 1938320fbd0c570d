import { hasResult, type ResultName } from "@ospreyreel/errors";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { EtcdKvClient } from "./etcd-kv-client.js";

/** Connects a client to a service that sends the same response to every call. */
const connectTo = async (t: ExecutionContext, status: number, body: string): Promise<EtcdKvClient> => {
    const server = createServer((req, res) => {
        req.resume();
        res.writeHead(status, { "content-type": "application/json" }).end(body);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const kv = new EtcdKvClient({ endpoints: [`http://127.0.0.1:${port}`], deadlineMs: 30_000 });
    t.teardown(async () => {
        await kv.close();
        server.close();
    });
    return kv;
};

const toErrorBody = (code: number, message: string): string => JSON.stringify({ error: message, code, message });

const errorResponses: readonly (readonly [status: number, body: string, result: ResultName])[] = [
    [503, toErrorBody(14, "etcdserver: no leader"), "kvUnavailable"],
    [503, toErrorBody(14, "etcdserver: request timed out"), "kvOutcomeUnknown"],
    [503, "a balancer's page", "kvOutcomeUnknown"],
    [429, toErrorBody(8, "etcdserver: too many requests"), "kvUnavailable"],
    [400, toErrorBody(3, "etcdserver: duplicate key given in txn request"), "kvUnavailable"],
    [500, toErrorBody(13, "internal"), "kvOutcomeUnknown"],
    [504, toErrorBody(4, "context deadline exceeded"), "kvOutcomeUnknown"],
    [200, "{\"header\":{\"revi", "kvOutcomeUnknown"],
];

for (const [status, body, result] of errorResponses) {
    test(`a write with response ${status} ${body} is ${result}; a read is kvUnavailable`, async t => {
        const kv = await connectTo(t, status, body);
        t.true(hasResult(await t.throwsAsync(kv.txn({ compares: [] })), result));
        t.true(hasResult(await t.throwsAsync(kv.get("/a")), "kvUnavailable"));
    });
}

test("a renewal that fails within its streamed response is an unknown outcome and not an expired lease", async t => {
    const kv = await connectTo(t, 200, "{\"error\":{\"grpc_code\":14,\"message\":\"etcdserver: no leader\"}}");
    t.true(hasResult(await t.throwsAsync(kv.keepLeaseAlive("7")), "kvOutcomeUnknown"));
});
