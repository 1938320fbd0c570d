import { hasResult } from "@ospreyreel/errors";
import type { KvClient } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import { setTimeout as sleep } from "node:timers/promises";
import type { CopyStore } from "./copy-store.js";
import { IncarnationGuard } from "./incarnation-guard.js";
import type { LedgerKeys } from "./ledger-keys.js";

/** Options of {@link CopyDependents}. */
export interface CopyDependentsOptions {
    readonly kv: KvClient;
    readonly hub: PeerHub;
    readonly keys: LedgerKeys;
    readonly copies: CopyStore;
    /** Current incarnation of this instance; undefined before the start. */
    readonly getIncarnation: () => string | undefined;
}

const POLL_MS = 100;

/** Live peers that name this instance as their copy holder. */
export class CopyDependents {
    constructor(private readonly opts: CopyDependentsOptions) {}

    /** Waits until no peer names this instance any more, or until the timeout. */
    async awaitNone(timeoutMs: number): Promise<void> {
        const deadline = Date.now() + timeoutMs;
        while (Date.now() < deadline && await this.hasAny()) {
            await sleep(POLL_MS);
        }
    }

    private async hasAny(): Promise<boolean> {
        const { hub, copies } = this.opts;
        const present = new Set(hub.peers().map(peer => peer.incarnation));
        const holders = copies.list().filter(copy => !copy.sealed && present.has(copy.holder));
        try {
            for (const { holder } of holders) {
                if (await this.getCopyHolder(holder) === this.opts.getIncarnation()) {
                    return true;
                }
            }
            return false;
        }
        catch (err) {
            return !hasResult(err, "incarnationClosed");
        }
    }

    private async getCopyHolder(incarnation: string): Promise<string | undefined> {
        const { kv, keys } = this.opts;
        const guard = new IncarnationGuard({ kv, keys, incarnation });
        await guard.refresh();
        return guard.current?.copyHolder;
    }
}
