import { OspreyError } from "@ospreyreel/errors";
import type { CopyEntry } from "@ospreyreel/types";
import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { CopyLink } from "./copy-link.js";
import { createIntent } from "./fixtures.js";
import type { IncarnationGuard } from "./incarnation-guard.js";
import { Session } from "./session.js";
import type { ShardAccount } from "./shard-account.js";

test("an unacknowledged intent is finished at the copy holder too, whose copy may contain it", async t => {
    const sent: CopyEntry[] = [];
    const append = (entry: CopyEntry): Promise<void> => {
        sent.push(entry);
        // The first entry is lost; before the failure is known, a snapshot may have added its intent to the copy.
        return sent.length === 1
            ? Promise.reject(new OspreyError("no answer", { result: "copyUnavailable" }))
            : Promise.resolve();
    };
    const finish: ShardAccount["finish"] = ({ id, budget }, tokens, bill) => ({
        kind: "finish",
        intentId: id,
        budget,
        finishSeq: 1,
        tokens,
        bill,
    });
    const session = new Session({
        incarnation: "a",
        guard: undefined as unknown as IncarnationGuard,
        createAccount: () => ({ finish }) as unknown as ShardAccount,
        createLink: () => ({ append }) as unknown as CopyLink,
        shardOf: () => 0,
    });
    const intent = { ...createIntent("i"), budget: "b", reserved: 10 };
    await t.throwsAsync(session.acknowledge(intent), { message: /no answer/ });
    await nextTurn();
    t.is(session.countIntents(), 0);
    t.like(sent, [{ kind: "intent" }, { kind: "finish", intentId: "i", tokens: 0 }]);
});
