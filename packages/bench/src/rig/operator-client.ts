import type { AppliedEdit, OperatorsDocument, StatusResponse } from "@ospreyreel/config";
import type { Address } from "@ospreyreel/types";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

const RETRY_PAUSE_MS = 100;

/** Statuses after which the same edit may be sent again. */
const REPEATABLE: ReadonlySet<number> = new Set([503, 504]);

/** Calls the operator port of one instance. */
export class OperatorClient {
    private readonly base: string;
    private readonly token: string;

    constructor(address: Address, token: string) {
        this.base = `http://${address.host}:${address.port}/operator/v1`;
        this.token = token;
    }

    /** What the instance says of itself and its peers. */
    async getStatus(): Promise<StatusResponse> {
        return await this.get("/status") as StatusResponse;
    }

    /** Dump of the instance's state. */
    async getDump(): Promise<unknown> {
        return await this.get("/dump");
    }

    /** Applies a document on top of the one in force; repeats the same edit while its outcome is open. */
    async apply(document: OperatorsDocument): Promise<AppliedEdit> {
        const baseRevision = (await this.getStatus()).self.configRevision;
        const edit = { text: JSON.stringify(document), baseRevision, editId: randomUUID(), author: "rig" };
        for (;;) {
            const res = await request(`${this.base}/document`, {
                method: "POST",
                headers: { ...this.headers(), "content-type": "application/json" },
                body: JSON.stringify(edit),
            });
            const text = await res.body.text();
            if (res.statusCode === 200) {
                return JSON.parse(text) as AppliedEdit;
            }
            if (!REPEATABLE.has(res.statusCode)) {
                throw new Error(`the document was refused (${res.statusCode}): ${text}`);
            }
            await sleep(RETRY_PAUSE_MS);
        }
    }

    /** Waits until the document of at least this revision is in force on the instance. */
    async awaitRevision(revision: number): Promise<void> {
        for (;;) {
            const { ready, self } = await this.getStatus();
            if (ready && self.configRevision >= revision) {
                return;
            }
            await sleep(RETRY_PAUSE_MS);
        }
    }

    private async get(path: string): Promise<unknown> {
        const res = await request(`${this.base}${path}`, { headers: this.headers() });
        if (res.statusCode !== 200) {
            throw new Error(`${path} answered ${res.statusCode}: ${await res.body.text()}`);
        }
        return await res.body.json();
    }

    private headers(): Readonly<Record<string, string>> {
        return { authorization: `Bearer ${this.token}` };
    }
}
