import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { setImmediate as settle } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import { DecisionBook } from "./decision-book.js";
import { PartCollector } from "./part-collector.js";

const createCollector = () => {
    const clock = { nowMs: 1_000 };
    const log = new MemoryLog();
    const book = new DecisionBook({ nowMs: () => clock.nowMs, log, count: () => undefined });
    const quarantined: string[] = [];
    const waits: (() => void)[] = [];
    const collector = new PartCollector({
        hub: new MemoryNetwork().createHub("instance-1"),
        book,
        nowMs: () => clock.nowMs,
        log,
        random: () => 0,
        quarantine: part => quarantined.push(part),
        wait: ms =>
            ms <= 0 ? Promise.resolve() : new Promise(resolve => {
                waits.push(resolve);
            }),
    });
    const accuse = async (part: string, others: readonly string[], followers: number, times = 3): Promise<void> => {
        for (let index = 0; index < times; index++) {
            clock.nowMs += 400;
            await collector.accuse([{ part, crash: `t@${index}`, msAgo: 0, others, followers }]);
            await settle();
        }
    };
    const endWaits = async (): Promise<void> => {
        waits.forEach(end => end());
        await settle();
    };
    return { clock, book, collector, quarantined, accuse, endWaits };
};

const quarantine = (book: DecisionBook, part: string, nowMs: number): void => {
    book.apply(part, { isCleared: false, changedAtMs: nowMs, untilMs: nowMs + 60_000, strikes: 1, sinceMs: 0 }, "test");
};

test("a part waits for the decision about the parts that follow it, which then explains its crashes", async t => {
    const { clock, book, quarantined, accuse, endWaits } = createCollector();
    await accuse("root", ["deadly"], 1);
    t.deepEqual(quarantined, []);
    quarantine(book, "deadly", clock.nowMs);
    await endWaits();
    t.deepEqual(quarantined, []);
});

test("a part whose followers are not convicted is convicted after its wait", async t => {
    const { quarantined, accuse, endWaits } = createCollector();
    await accuse("root", ["topic"], 1);
    await endWaits();
    t.deepEqual(quarantined, ["root"]);
});

test("crashes that a cleared part explained count again", async t => {
    const { clock, book, quarantined, accuse } = createCollector();
    quarantine(book, "other", clock.nowMs);
    await accuse("deadly", ["other"], 0);
    t.deepEqual(quarantined, []);
    clock.nowMs += 1;
    const times = { changedAtMs: clock.nowMs, untilMs: clock.nowMs, sinceMs: clock.nowMs };
    book.apply("other", { isCleared: true, strikes: 0, ...times }, "test");
    await accuse("deadly", ["other"], 0, 4);
    t.deepEqual(quarantined, ["deadly"]);
});

test("an answer that begins during the wait refutes the crashes", async t => {
    const { clock, book, quarantined, accuse, endWaits } = createCollector();
    await accuse("root", ["topic"], 1);
    clock.nowMs += 10;
    book.answers.record(["root"], clock.nowMs);
    await endWaits();
    t.deepEqual(quarantined, []);
});
