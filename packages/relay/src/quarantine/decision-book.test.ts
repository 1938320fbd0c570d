import type { PartDecision } from "@ospreyreel/types";
import test from "ava";
import { MemoryLog } from "../fixtures/memory-log.js";
import { DecisionBook } from "./decision-book.js";

const createBook = () => {
    const clock = { nowMs: 100_000 };
    const log = new MemoryLog();
    const counts: string[] = [];
    const book = new DecisionBook({ nowMs: () => clock.nowMs, log, count: name => counts.push(name) });
    return { book, clock, counts, log };
};

const createDecision = (overrides: Partial<PartDecision> = {}): PartDecision => ({
    part: "ab12",
    isCleared: false,
    msAgo: 0,
    leftMs: 60_000,
    strikes: 1,
    sinceMsAgo: 500,
    crashes: ["t@1"],
    followers: 0,
    ...overrides,
});

test("a quarantine that several peers announce is logged once and not prolonged by the delay of messages", t => {
    const { book, clock, counts, log } = createBook();
    book.receive(createDecision(), "peer-1");
    clock.nowMs += 10;
    book.receive(createDecision({ msAgo: 5, leftMs: 59_995 }), "peer-2");
    t.is(log.lines.length, 1);
    t.deepEqual(counts, ["parts_quarantined"]);
    t.is(book.getDecision("ab12")?.leftMs, 59_990);
});

test("a quarantine that was prolonged replaces the known one, and an older one does not", t => {
    const { book, clock } = createBook();
    book.receive(createDecision({ msAgo: 1_000 }), "peer-1");
    clock.nowMs += 10;
    book.receive(createDecision({ strikes: 2, leftMs: 120_000 }), "peer-2");
    book.receive(createDecision({ msAgo: 1_010 }), "peer-1");
    t.like(book.getDecision("ab12"), { strikes: 2, leftMs: 120_000 });
});

test("a quarantine is refused if an answer has begun since the first crash, and the answer is told", t => {
    const { book, clock } = createBook();
    book.answers.record(["ab12"], clock.nowMs - 200);
    t.deepEqual(book.receive(createDecision(), "peer-1"), { part: "ab12", msAgo: 200 });
    t.false(book.isActive("ab12"));
    t.is(book.receive(createDecision({ sinceMsAgo: 100 }), "peer-1"), undefined);
    t.true(book.isActive("ab12"));
});

test("a later end of a quarantine counts, and the quarantine that it ended does not come back", t => {
    const { book, clock } = createBook();
    book.receive(createDecision({ msAgo: 500 }), "peer-1");
    clock.nowMs += 10;
    book.receive(createDecision({ isCleared: true, leftMs: 0, strikes: 0, crashes: [] }), "peer-2");
    t.false(book.isActive("ab12"));
    book.receive(createDecision({ msAgo: 510 }), "peer-3");
    t.false(book.isActive("ab12"));
});
