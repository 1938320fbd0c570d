import type { FinishEntry } from "@ospreyreel/types";
import { getJournalKey, type JournalEntry } from "./journal-entry.js";
import type { ShardView } from "./shard-view.js";

/** Returns the bills of finishes whose request is not billed yet, one for each request. */
export const getNewBills = (view: ShardView, finishes: readonly FinishEntry[]): readonly JournalEntry[] => {
    const seen = new Set<string>();
    const entries: JournalEntry[] = [];
    for (const { bill } of finishes) {
        const key = bill === undefined ? undefined : getJournalKey(bill.team, bill.requestKey);
        if (bill === undefined || key === undefined || view.bills.has(key) || seen.has(key)) {
            continue;
        }
        seen.add(key);
        entries.push({ kind: "bill", bill });
    }
    return entries;
};
