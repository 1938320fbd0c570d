import type { PeerHub } from "@ospreyreel/peer";
import type { CopyStore } from "./copy-store.js";
import type { IncarnationCloser } from "./incarnation-closer.js";
import type { LostHolderSweep } from "./lost-holder-sweep.js";

/** Options of {@link LostHolderCloser}. */
export interface LostHolderCloserOptions {
    readonly hub: PeerHub;
    readonly copies: CopyStore;
    readonly closer: IncarnationCloser;
    readonly sweep: LostHolderSweep;
    /** Current incarnation of this instance; undefined before the start. */
    readonly getIncarnation: () => string | undefined;
}

/** Closes the incarnations whose copies this instance holds and that stay missing from the peers. */
export class LostHolderCloser {
    private running = false;

    constructor(private readonly opts: LostHolderCloserOptions) {}

    /** Runs one sweep; does nothing while an earlier one runs. */
    async closeLost(): Promise<void> {
        const incarnation = this.opts.getIncarnation();
        if (incarnation === undefined || this.running) {
            return;
        }
        this.running = true;
        try {
            await this.sweep(incarnation);
        }
        finally {
            this.running = false;
        }
    }

    private async sweep(incarnation: string): Promise<void> {
        const { hub, copies, closer, sweep } = this.opts;
        const present = new Set(hub.peers().map(peer => peer.incarnation));
        const holders = copies.list().map(copy => copy.holder);
        for (const holder of sweep.getLost(holders, present)) {
            await closer.close(holder, incarnation);
        }
    }
}
