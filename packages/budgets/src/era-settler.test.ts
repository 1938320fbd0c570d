import { MemoryKv } from "@ospreyreel/kv/fixtures";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { getShard } from "./budget-shards.js";
import { EraSettler } from "./era-settler.js";
import { FirstEra } from "./first-era.js";
import { REWRITTEN_WITHIN_MS } from "./known-budgets.js";
import { encodeShardRecord, getShardKey } from "./shard-record.js";

const SHARD = getShard("team");

/** Time that a read takes, in milliseconds. */
const READ_MS = 50;

/** What a test changes while the settler runs. */
interface SettlerState {
    knownForMs: number;
    isInEachCopy: boolean;
    isResponsible: boolean;
    budgets: readonly string[];
    onContains: (atMs: number) => void;
}

/** A fleet with one budget, whose first one was used in the first era, two restores ago. */
const createSettler = async () => {
    const kv = new MemoryKv();
    const firstEra = new FirstEra(kv, () => undefined);
    const readFirstEra = async () => Number(Buffer.from((await kv.get("ospreyreel/budgets-since"))?.value ?? []));
    await kv.get(getShardKey(SHARD));
    await firstEra.countRestores();
    await firstEra.get(kv.history.era);
    const restore = async (): Promise<void> => {
        kv.service.restore(kv.service.copy());
        await kv.get(getShardKey(SHARD));
    };
    await restore();
    await restore();
    const state: SettlerState = {
        knownForMs: 2 * REWRITTEN_WITHIN_MS,
        isInEachCopy: true,
        isResponsible: true,
        budgets: ["team"],
        onContains: () => undefined,
    };
    const claimed: number[] = [];
    const settler = new EraSettler({
        kv,
        firstEra,
        horizon: {
            get era() {
                return kv.history.era;
            },
            get eraKnownAtMs() {
                return performance.now() - state.knownForMs;
            },
            contains: atMs => {
                state.onContains(atMs);
                return state.isInEachCopy;
            },
        },
        getBudgets: () => state.budgets,
        isResponsible: () => state.isResponsible,
        claim: shards => {
            claimed.push(...shards);
            return Promise.resolve();
        },
        log: () => undefined,
    });
    const putRecord = async (): Promise<void> => {
        const record = { epoch: 1, era: kv.history.era, owner: undefined, witnesses: [], budgets: {} };
        const value = encodeShardRecord(record);
        await kv.txn({ compares: [], puts: [{ key: getShardKey(SHARD), value }] });
    };
    return { kv, firstEra, settler, state, claimed, restore, putRecord, readFirstEra };
};

test("restores count nothing of later budgets once each shard has a record in each copy", async t => {
    const { kv, firstEra, settler, putRecord, readFirstEra } = await createSettler();
    t.is(await firstEra.countRestores(), 2);
    await putRecord();
    await settler.check();
    t.is(await firstEra.countRestores(), 0);
    t.is(await readFirstEra(), 3);
    t.is(await new FirstEra(kv, () => undefined).countRestores(), 0);
});

// Guards against use of a lost owner that nobody counts, since no record tells of it.
test("a shard without a record is claimed, and restores count until it has one", async t => {
    const { firstEra, settler, claimed, putRecord } = await createSettler();
    await settler.check();
    t.deepEqual(claimed, [SHARD]);
    t.is(await firstEra.countRestores(), 2);
    await putRecord();
    await settler.check();
    t.is(await firstEra.countRestores(), 0);
});

test("restores count until the records are in each copy", async t => {
    const { firstEra, settler, state, putRecord } = await createSettler();
    await putRecord();
    state.isInEachCopy = false;
    await settler.check();
    t.is(await firstEra.countRestores(), 2);
    state.isInEachCopy = true;
    await settler.check();
    t.is(await firstEra.countRestores(), 0);
});

// Guards against records that were seen before a restore which has lost them.
test("records are looked for again after a further restore", async t => {
    const { kv, firstEra, settler, state, claimed, restore, putRecord } = await createSettler();
    const copy = kv.service.copy();
    await putRecord();
    state.isInEachCopy = false;
    await settler.check();
    kv.service.restore(copy);
    await kv.get(getShardKey(SHARD));
    state.isInEachCopy = true;
    await settler.check();
    t.deepEqual(claimed, [SHARD]);
    t.is(await firstEra.countRestores(), 3);
    await putRecord();
    await settler.check();
    await restore();
    t.is(await firstEra.countRestores(), 1);
});

test("nothing is settled soon after a restore, or by another instance than the one that does it", async t => {
    const { firstEra, settler, state, claimed, putRecord } = await createSettler();
    await putRecord();
    state.knownForMs = REWRITTEN_WITHIN_MS / 2;
    await settler.check();
    state.knownForMs = 2 * REWRITTEN_WITHIN_MS;
    state.isResponsible = false;
    await settler.check();
    t.deepEqual(claimed, []);
    t.is(await firstEra.countRestores(), 2);
});

// Guards against an instance that has no desired state yet and takes that for one without budgets.
test("nothing is settled while no budgets are known", async t => {
    const { firstEra, settler, state } = await createSettler();
    state.budgets = [];
    await settler.check();
    t.is(await firstEra.countRestores(), 2);
});

// Guards against a record that is stored while others are read, and that a copy from before the end of the read lacks.
test("records are as old as the end of the read that found them", async t => {
    const { kv, settler, state, putRecord } = await createSettler();
    await putRecord();
    let readAtMs = 0;
    state.onContains = atMs => readAtMs = atMs;
    const range = kv.range.bind(kv);
    kv.range = async (...args) => {
        const entries = await range(...args);
        await sleep(READ_MS);
        return entries;
    };
    const startedAtMs = performance.now();
    await settler.check();
    t.true(readAtMs - startedAtMs >= READ_MS - 1, `${readAtMs - startedAtMs}`);
});
