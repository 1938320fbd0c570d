import type { PeerHub } from "@ospreyreel/peer";
import type { StreamMark } from "@ospreyreel/types";
import type { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";

/** Options of {@link MarkSender}. */
export interface MarkSenderOptions {
    readonly hub: Pick<PeerHub, "request" | "self">;
    readonly keepers: ResponsibleInstances;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Time for which marks are collected before they are sent, in milliseconds; a kill loses those of this time. */
const COLLECT_MS = 20;

/** Maximum number of marks in one message. */
const MAX_MARKS = 500;

/** Timeout of one message, in milliseconds. */
const MARK_TIMEOUT_MS = 500;

/** Largest fleets in which each mark is kept by three instances, and by two; in larger ones messages cost more than kills. */
const MAX_FLEET_WITH_THREE = 16;
const MAX_FLEET_WITH_TWO = 128;

/** Number of instances that keep each mark beside the one that made it, in a fleet of some size. */
export const getKeeperCount = (fleetSize: number): number =>
    fleetSize <= MAX_FLEET_WITH_THREE ? 3 : fleetSize <= MAX_FLEET_WITH_TWO ? 2 : 1;

/** Sends the marks of streams to the instances that keep them, many in one message. */
export class MarkSender {
    private readonly pending = new Map<string, StreamMark[]>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: MarkSenderOptions) {}

    /** Sends a mark soon. */
    send(mark: StreamMark): void {
        const { hub, keepers } = this.opts;
        const self = hub.self().instance;
        for (const { instance, incarnation } of keepers.choose(mark.stream, getKeeperCount(keepers.count) + 1)) {
            if (instance !== self) {
                const marks = this.pending.get(incarnation) ?? [];
                this.pending.set(incarnation, marks);
                marks.push(mark);
            }
        }
        this.timer ??= setTimeout(() => this.flush(), COLLECT_MS);
    }

    private flush(): void {
        this.timer = undefined;
        const batches = [...this.pending];
        this.pending.clear();
        for (const [incarnation, marks] of batches) {
            for (let from = 0; from < marks.length; from += MAX_MARKS) {
                void this.deliver(incarnation, marks.slice(from, from + MAX_MARKS));
            }
        }
    }

    private async deliver(incarnation: string, marks: readonly StreamMark[]): Promise<void> {
        this.opts.count("stream_mark_messages");
        try {
            await this.opts.hub.request(incarnation, "streams.mark", { marks }, MARK_TIMEOUT_MS);
        }
        catch (err) {
            this.opts.log.write("stream marks not sent", {
                peer: incarnation,
                marks: marks.length,
                cause: String(err),
            });
        }
    }
}
