import { hash32, NameScores, type PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, TargetLoadsMessage } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";
import type { RelayLog } from "../relay-log.js";

/** Options of {@link ReportSpreader}. */
export interface ReportSpreaderOptions {
    readonly hub: PeerHub;
    /** Other instances that share the reports. */
    readonly listPeers: () => readonly InstanceInfo[];
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Called with each message of another instance. */
    readonly onMessage: (message: TargetLoadsMessage) => void;
}

/** Timeout of a message, in milliseconds. */
const SEND_TIMEOUT_MS = 500;

/** Largest number of peers to which a reader sends itself; in a larger fleet one peer of each group passes messages on. */
const MAX_DIRECT = 16;

/** Time between two log lines about messages that were not sent, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Maximum number of instances whose digests are kept. */
const MAX_DIGESTS = 4_096;

/** Sends what this instance has read to all others, in a large fleet through one instance of each group. */
export class ReportSpreader {
    private readonly digests = new BoundedMap<number>(MAX_DIGESTS);
    private failures = 0;
    private loggedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: ReportSpreaderOptions) {}

    /** Starts receiving messages and passing them on. */
    serve(): void {
        this.opts.hub.handle("targets.loads", (message, from) => {
            const { to, ...rest } = message;
            this.opts.onMessage(message);
            if (to !== undefined) {
                const [group, groups] = to;
                this.listGroup(group, groups)
                    .filter(({ incarnation }) => incarnation !== from.incarnation)
                    .forEach(peer => void this.send(peer, rest));
            }
            return Promise.resolve({});
        });
    }

    /** Sends a message to all peers; does not throw. */
    async spread(message: TargetLoadsMessage): Promise<void> {
        const peers = this.opts.listPeers();
        if (peers.length <= MAX_DIRECT) {
            await Promise.all(peers.map(peer => this.send(peer, message)));
            return;
        }
        const groups = Math.ceil(Math.sqrt(peers.length));
        await Promise.all(Array.from({ length: groups }, async (_, group) => {
            const head = chooseHead(`${message.by} ${group}`, this.listGroup(group, groups));
            if (head !== undefined) {
                await this.send(head, { ...message, to: [group, groups] });
            }
        }));
    }

    private listGroup(group: number, groups: number): readonly InstanceInfo[] {
        return this.opts.listPeers().filter(({ instance }) => this.getDigest(instance) % groups === group);
    }

    private getDigest(instance: string): number {
        const known = this.digests.get(instance);
        if (known !== undefined) {
            return known;
        }
        const digest = hash32(instance);
        this.digests.set(instance, digest);
        return digest;
    }

    private async send(peer: InstanceInfo, message: TargetLoadsMessage): Promise<void> {
        try {
            await this.opts.hub.request(peer.incarnation, "targets.loads", message, SEND_TIMEOUT_MS);
            this.opts.count("target_load_messages");
        }
        catch (err) {
            this.failures += 1;
            this.opts.count("target_load_messages_failed");
            this.logFailure(peer, String(err));
        }
    }

    private logFailure(peer: InstanceInfo, cause: string): void {
        if (this.opts.nowMs() - this.loggedAtMs >= LOG_INTERVAL_MS) {
            this.loggedAtMs = this.opts.nowMs();
            this.opts.log.write("target loads not sent", { peer: peer.instance, cause, failures: this.failures });
            this.failures = 0;
        }
    }
}

/** Chooses the instance that passes messages on, always the same one, so that no further links are opened. */
const chooseHead = (key: string, group: readonly InstanceInfo[]): InstanceInfo | undefined => {
    const live = group.filter(info => info.state === "live");
    const scores = new NameScores(live.map(info => info.instance)).getScores(key);
    return live.reduce<{ readonly info: InstanceInfo | undefined; readonly score: number; }>(
        (best, info, index) => (scores[index] ?? 0) > best.score ? { info, score: scores[index] ?? 0 } : best,
        { info: undefined, score: 0 },
    ).info;
};
