import type { KvEntry } from "@ospreyreel/kv";
import test from "ava";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { EntryHeartbeats } from "./entry-heartbeats.js";
import type { Target } from "./target.js";

const BORN_MS = 100_000;

/** Entries as JSON of the fields in which they differ. */
const createEntry = (change: Partial<Target>): KvEntry => ({
    key: "target-1",
    value: Buffer.from(JSON.stringify(change)),
    modRevision: 1,
});

const createHeartbeats = (bornMsAgo = 60_000) => {
    const clock = { nowMs: 0 };
    const heartbeats = new EntryHeartbeats({
        codec: {
            getTargetId: key => key,
            decode: (id, bytes) => ({
                ...createStart(id, BORN_MS),
                ...JSON.parse(Buffer.from(bytes).toString()) as Partial<Target>,
            }),
        },
        nowMs: () => clock.nowMs,
        wallMs: () => BORN_MS + bornMsAgo + clock.nowMs,
    });
    const isHeartbeat = (before: Partial<Target>, after: Partial<Target>): boolean =>
        heartbeats.isHeartbeat(createEntry(before), createEntry(after));
    return { clock, isHeartbeat };
};

// Each instance gets every change, which with a zone of cold targets would exceed what control traffic may use.
test("a cold time that runs down is no news, and its end, another one and a longer one are", t => {
    const { clock, isHeartbeat } = createHeartbeats();
    isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 0 });
    t.false(isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 10_000 }));
    clock.nowMs = 2_000;
    t.true(isHeartbeat({ coldRemainingMs: 10_000 }, { coldRemainingMs: 8_100 }));
    clock.nowMs = 4_000;
    t.false(isHeartbeat({ coldRemainingMs: 10_000 }, { coldRemainingMs: 10_000 }));
    clock.nowMs = 14_000;
    t.false(isHeartbeat({ coldRemainingMs: 10_000 }, { coldRemainingMs: 0 }));
    t.true(isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 0 }));
    t.false(isHeartbeat({ coldRemainingMs: 0, slots: 4 }, { coldRemainingMs: 0, slots: 5 }));
});

test("the first entry that is taken to tell whether a new target is cold is news", t => {
    const { clock, isHeartbeat } = createHeartbeats(500);
    t.true(isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 0 }));
    clock.nowMs = 4_000;
    t.false(isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 0 }));
    clock.nowMs = 5_000;
    t.true(isHeartbeat({ coldRemainingMs: 0 }, { coldRemainingMs: 0 }));
});

test("an entry that tells nothing of cold times is news only where something else has changed", t => {
    const { isHeartbeat } = createHeartbeats();
    t.true(isHeartbeat({}, {}));
    t.false(isHeartbeat({}, { leaving: true }));
});
