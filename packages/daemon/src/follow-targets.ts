import type { CurrentDocument } from "@ospreyreel/config";
import type { TargetClient, TargetPool } from "@ospreyreel/targets";
import type { Stream } from "most";

/** Options of {@link followTargets}. */
export interface FollowTargetsOptions {
    readonly documents: Stream<CurrentDocument>;
    readonly pool: TargetPool;
    readonly client: TargetClient;
}

/** Sets each document's targets in the pool and closes connections to removed targets once these are idle. */
export const followTargets = async ({ documents, pool, client }: FollowTargetsOptions): Promise<void> => {
    await documents.observe(({ document }) => {
        pool.setDocument(document);
        // Not awaited, since a response in progress from a removed target may take long.
        void client.closeUnusedPools(new Set(document.targets.map(target => target.url)));
    });
};
