import type { CopyEntry } from "@ospreyreel/types";
import test from "ava";
import { decodeCopyEntries, encodeCopyEntries } from "./copy-codec.js";
import { createIntent } from "./fixtures.js";

const entries: readonly CopyEntry[] = [
    { kind: "intent", intent: { ...createIntent("i-1", "key"), budget: "b", reserved: 70_000 } },
    { kind: "finish", intentId: "i-1", budget: "b", finishSeq: 3, tokens: 12, bill: undefined },
    {
        kind: "finish",
        intentId: "i-2",
        budget: "b",
        finishSeq: 4,
        tokens: 12,
        bill: {
            requestKey: "key",
            team: "team",
            budget: "b",
            offering: "offering",
            promptTokens: 2,
            completionTokens: 10,
            incarnation: "x",
            finishedAtMs: 1_790_000_000_000,
            stream: { target: "engine", targetUrl: "http://127.0.0.1:1", streamId: "i-2", fingerprint: "f" },
        },
    },
    {
        kind: "finish",
        intentId: "i-3",
        budget: "b",
        finishSeq: 5,
        tokens: 1,
        bill: {
            finishedAtMs: 1_790_000_000_001,
            requestKey: "service",
            team: "team",
            budget: "b",
            offering: "tickets",
            promptTokens: 0,
            completionTokens: 1,
            incarnation: "x",
        },
    },
    { kind: "flushed", shard: 3, finishSeq: 9 },
];

test("copy entries are unchanged after encoding and decoding", t => {
    t.deepEqual(decodeCopyEntries(encodeCopyEntries(entries)), entries);
});

test("encoded copy entries contain no field names", t => {
    const text = Buffer.from(encodeCopyEntries(entries)).toString("latin1");
    t.notRegex(text, /fingerprint|requestKey|promptTokens|finishSeq/);
});
