import type { KvClient } from "@ospreyreel/kv";
import type { BudgetLog } from "./budget-log.js";

/** Key that holds the era. */
const KEY = "ospreyreel/budgets-since";

/** Era in which most services begin. */
export const USUAL_FIRST_ERA = 1;

/**
 * The earliest era in which budgets without a record can have been used: that of the installation's first budget, or a later one in which
 * each budget's shard had a record in each copy.
 */
export class FirstEra {
    /** Era in which no restore counts any more. */
    private settledEra: number | undefined;
    private lastRead: number | undefined;

    constructor(private readonly kv: Pick<KvClient, "get" | "txn" | "history">, private readonly log: BudgetLog) {}

    /** As it was last read here, for the state dump; undefined before that. */
    get lastKnown(): number | undefined {
        return this.lastRead;
    }

    /** Counts the restores of the service since. Throws if the KV service is unavailable. */
    async countRestores(): Promise<number> {
        const { era } = this.kv.history;
        if (era > USUAL_FIRST_ERA) {
            return Math.max(0, era - await this.get(era));
        }
        // Nothing has been lost yet; later eras need it.
        this.get(era).catch((err: unknown) => this.log("first era not written", { cause: String(err) }));
        return 0;
    }

    /** Returns it as the key says, and writes the key where it is missing. `era` is the present one. Throws if the KV service is unavailable. */
    async get(era: number): Promise<number> {
        if (this.settledEra === era) {
            return era;
        }
        const firstEra = (await this.read()).firstEra ?? await this.write();
        this.lastRead = firstEra;
        this.settledEra = firstEra >= era ? era : undefined;
        return firstEra;
    }

    /** Raises it to the present era. Throws if the KV service is unavailable, or another instance writes the key. */
    async raise(era: number): Promise<void> {
        const { revision } = await this.read();
        if (!await this.store(era, revision)) {
            throw new Error("another instance has written the first era");
        }
        this.settledEra = era;
        this.lastRead = era;
    }

    private async read(): Promise<{ readonly firstEra: number | undefined; readonly revision: number; }> {
        const entry = await this.kv.get(KEY);
        const era = entry === undefined ? undefined : Number(Buffer.from(entry.value).toString());
        return { firstEra: Number.isSafeInteger(era) ? era : undefined, revision: entry?.modRevision ?? 0 };
    }

    private async write(): Promise<number> {
        const { firstKnownEra } = this.kv.history;
        // After one restore it may be missing because the copy is older than the first use.
        const era = firstKnownEra === USUAL_FIRST_ERA + 1 ? USUAL_FIRST_ERA : firstKnownEra;
        // Without any, all earlier eras count.
        return await this.store(era, 0) ? era : (await this.read()).firstEra ?? 0;
    }

    /** Writes the key in place of a revision, 0 for none; returns whether it is stored. */
    private async store(era: number, modRevision: number): Promise<boolean> {
        const { succeeded } = await this.kv.txn({
            compares: [{ key: KEY, modRevision }],
            puts: [{ key: KEY, value: Buffer.from(String(era)) }],
        });
        return succeeded;
    }
}
