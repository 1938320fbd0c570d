import type { KvClient } from "@ospreyreel/kv";
import type { BudgetLog } from "./budget-log.js";

/** Key that is written once, when the first budget is used. */
const KEY = "ospreyreel/budgets-since";

/** Era in which most services begin. */
const USUAL_FIRST_ERA = 1;

/** The era in which the first budget of an installation was used: no restore before it can have lost any use. */
export class FirstEra {
    private era: number | undefined;

    constructor(private readonly kv: Pick<KvClient, "get" | "txn" | "history">, private readonly log: BudgetLog) {}

    /** Whether the service has come back from a copy since. Throws if the KV service is unavailable. */
    async wasRestored(): Promise<boolean> {
        const { era } = this.kv.history;
        if (era > USUAL_FIRST_ERA) {
            return era > await this.get();
        }
        if (this.era === undefined) {
            // Nothing has been lost yet; later eras need it.
            this.get().catch((err: unknown) => this.log("first era not written", { cause: String(err) }));
        }
        return false;
    }

    private async get(): Promise<number> {
        this.era ??= await this.read() ?? await this.write();
        return this.era;
    }

    private async read(): Promise<number | undefined> {
        const entry = await this.kv.get(KEY);
        const era = entry === undefined ? undefined : Number(Buffer.from(entry.value).toString());
        return Number.isSafeInteger(era) ? era : undefined;
    }

    private async write(): Promise<number> {
        const { era: present } = this.kv.history;
        // After one restore it may be missing because the copy is older than the first use.
        const era = present === USUAL_FIRST_ERA + 1 ? USUAL_FIRST_ERA : present;
        const value = Buffer.from(String(era));
        const { succeeded } = await this.kv.txn({
            compares: [{ key: KEY, modRevision: 0 }],
            puts: [{ key: KEY, value }],
        });
        // Without any, all earlier eras count.
        return succeeded ? era : await this.read() ?? 0;
    }
}
