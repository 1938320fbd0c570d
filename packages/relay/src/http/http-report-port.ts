import { Client } from "undici";
import { type ReportOutcome, ReportPort } from "../load/report-port.js";
import { getStartKey, type Target } from "../targets/target.js";
import { createTargetConnector } from "./target-connector.js";
import type { TargetProtocol } from "./target-protocol.js";

/** Timeout of one read, in milliseconds; a report that arrives later is of little use. */
const READ_TIMEOUT_MS = 300;

/** Maximum size of a report, in bytes. */
const MAX_REPORT_BYTES = 65_536;

/** Reads reports over HTTP/1.1, on one kept connection to each target. */
export class HttpReportPort extends ReportPort {
    private readonly clients = new Map<string, Client>();

    constructor(private readonly protocol: TargetProtocol) {
        super();
    }

    override async read(target: Target): Promise<ReportOutcome> {
        const { reports } = this.protocol;
        if (reports === undefined) {
            return { kind: "none" };
        }
        const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
        try {
            const { statusCode, body } = await this.getClient(target).request({
                method: "GET",
                path: reports.path,
                signal,
            });
            const chunks: Buffer[] = [];
            let size = 0;
            for await (const chunk of body as AsyncIterable<Buffer>) {
                size += chunk.length;
                if (size > MAX_REPORT_BYTES) {
                    return { kind: "failed", cause: "the report is too large" };
                }
                chunks.push(chunk);
            }
            const report = reports.decode(statusCode, Buffer.concat(chunks));
            return report === undefined ? { kind: "none" } : { kind: "read", report };
        }
        catch (err) {
            return { kind: "failed", cause: err instanceof Error ? err.message : String(err) };
        }
    }

    override keepOnly(targets: readonly Target[]): void {
        const kept = new Set(targets.map(getStartKey));
        for (const [key, client] of this.clients) {
            if (!kept.has(key)) {
                this.clients.delete(key);
                void client.destroy();
            }
        }
    }

    /** Returns the client of a target; throws where its address is none. */
    private getClient(target: Target): Client {
        const key = getStartKey(target);
        const known = this.clients.get(key);
        if (known !== undefined) {
            return known;
        }
        const client = new Client(`http://${target.host}:${target.port}`, {
            pipelining: 1,
            connect: createTargetConnector({ timeoutMs: READ_TIMEOUT_MS }),
        });
        this.clients.set(key, client);
        return client;
    }
}
