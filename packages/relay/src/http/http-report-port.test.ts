import test from "ava";
import { PlainTargetProtocol } from "../fixtures/plain-protocol.js";
import { createRawTarget } from "../fixtures/raw-target.js";
import type { TargetReport } from "../load/target-report.js";
import { HttpReportPort } from "./http-report-port.js";
import type { ReportFormat } from "./target-protocol.js";

class ReportingProtocol extends PlainTargetProtocol {
    override get reports(): ReportFormat {
        return {
            path: "/report",
            decode: (status, body) => status === 200 ? JSON.parse(body.toString()) as TargetReport : undefined,
        };
    }
}

const REPORT = { running: 1, queued: 2, usedTokens: 3, capacityTokens: 4 };

const getPort = () => new HttpReportPort(new ReportingProtocol());

test("reports are read on one connection, also after one that is none", async t => {
    const sockets = new Set<unknown>();
    const body = JSON.stringify(REPORT);
    let reads = 0;
    const { target, server } = await createRawTarget(socket => {
        sockets.add(socket);
        reads += 1;
        const status = reads === 2 ? "404 Not Found" : "200 OK";
        socket.write(`HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    });
    const port = getPort();
    t.deepEqual(await port.read(target), { kind: "read", report: REPORT });
    t.deepEqual(await port.read(target), { kind: "none" });
    t.is((await port.read(target)).kind, "read");
    t.is(sockets.size, 1);
    port.keepOnly([]);
    server.close();
});

test("a target that does not respond, or with too much, costs a short time only", async t => {
    const silent = await createRawTarget(() => undefined);
    const endless = await createRawTarget(socket => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        socket.write(Buffer.alloc(100_000));
    });
    const port = getPort();
    t.is((await port.read(silent.target)).kind, "failed");
    t.like(await port.read({ ...endless.target, id: "target-2" }), {
        kind: "failed",
        cause: "the report is too large",
    });
    port.keepOnly([]);
    silent.server.close();
    endless.server.close();
});
