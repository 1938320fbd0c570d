import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, StreamOrigin } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";
import { getKeeperCount, MarkSender } from "./mark-sender.js";
import { type ResumedStream, StreamOrigins } from "./stream-origins.js";
import { RESUME_HORIZON_MS, type VersionHistory } from "./version-history.js";

/** Options of {@link FleetStreamOrigins}. */
export interface FleetStreamOriginsOptions {
    readonly hub: PeerHub;
    readonly history: VersionHistory;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

interface KnownOrigin extends StreamOrigin {
    /** Monotonic time at which the first event arrived, or the mark; in milliseconds. */
    readonly atMs: number;
}

/** Maximum number of streams whose origins are kept. */
const MAX_STREAMS = 32_768;

/** Timeout of a question to a peer, in milliseconds: some round trips within a region. */
const FIND_TIMEOUT_MS = 150;

/** Instances that are asked beyond those that keep a mark, since instances join and leave. */
const EXTRA_ASKED = 2;

/** Where an origin is known from. */
type OriginSource = "own" | "history" | "peer" | "unknown";

/**
 * Keeps where streams began, while several versions serve also at other instances. Where only one version has served, no
 * origin has to be known.
 */
export class FleetStreamOrigins extends StreamOrigins {
    private readonly known = new BoundedMap<KnownOrigin>(MAX_STREAMS);
    private readonly keepers: ResponsibleInstances;
    private readonly sender: MarkSender;
    private readonly shared = new Set<string>();

    constructor(private readonly opts: FleetStreamOriginsOptions) {
        super();
        this.keepers = new ResponsibleInstances(opts);
        this.sender = new MarkSender({ ...opts, keepers: this.keepers });
    }

    /** Starts storing other instances' marks and responding to their questions. */
    serve(): void {
        const { hub, nowMs } = this.opts;
        hub.handle("streams.mark", ({ marks }) => {
            marks.forEach(({ stream, service, version }) =>
                this.known.set(stream, { service, version, atMs: nowMs() })
            );
            return Promise.resolve({});
        });
        hub.handle("streams.find", ({ stream }) => Promise.resolve({ origin: this.get(stream) }));
    }

    /** Number of streams whose origins are kept. */
    get size(): number {
        return this.known.size;
    }

    /** Sends the marks of this instance's streams at services that now have several versions. */
    shareMixed(): void {
        const { history } = this.opts;
        for (const service of history.services) {
            if (!history.isMixed(service)) {
                this.shared.delete(service);
            }
            else if (!this.shared.has(service)) {
                this.shared.add(service);
                this.known.list().map(([stream, origin]) => ({ stream, ...origin }))
                    .filter(mark => mark.service === service)
                    .forEach(({ stream, version }) => this.sender.send({ stream, service, version }));
            }
        }
    }

    override recordBegun(stream: string, origin: StreamOrigin): void {
        this.known.set(stream, { ...origin, atMs: this.opts.nowMs() });
        if (this.opts.history.isMixed(origin.service)) {
            this.sender.send({ stream, ...origin });
        }
    }

    override async find(resumed: ResumedStream): Promise<StreamOrigin | undefined> {
        const { stream, services } = resumed;
        const own = stream === undefined ? undefined : this.get(stream);
        if (own !== undefined) {
            return this.record(resumed, "own", own);
        }
        const only = this.opts.history.getOnlyOrigin(services);
        if (only !== undefined) {
            return this.record(resumed, "history", only);
        }
        const told = stream === undefined ? undefined : await this.askPeers(stream);
        return this.record(resumed, told === undefined ? "unknown" : "peer", told);
    }

    private record(
        { stream = "", services }: ResumedStream,
        source: OriginSource,
        origin: StreamOrigin | undefined,
    ): StreamOrigin | undefined {
        const { history, log, count } = this.opts;
        count(`stream_origins_${source}`);
        if (source !== "history") {
            log.write("origin of a resumed stream", {
                stream,
                source,
                service: origin?.service ?? services.join(" "),
                version: origin?.version ?? "",
                versions: services.flatMap(service => history.list(service)).join(" "),
                isHistoryComplete: history.isComplete,
            });
        }
        return origin;
    }

    private get(stream: string): StreamOrigin | undefined {
        const known = this.known.get(stream);
        if (known === undefined || this.opts.nowMs() - known.atMs > RESUME_HORIZON_MS) {
            return undefined;
        }
        return { service: known.service, version: known.version };
    }

    private async askPeers(stream: string): Promise<StreamOrigin | undefined> {
        const { hub } = this.opts;
        const self = hub.self().instance;
        const asked = this.keepers.choose(stream, getKeeperCount(this.keepers.count) + EXTRA_ASKED)
            .filter(({ instance }) => instance !== self);
        try {
            return await Promise.any(asked.map(peer => this.askPeer(peer, stream)));
        }
        catch {
            // None of them knows; the caller's log line tells that.
            return undefined;
        }
    }

    /** Asks one peer; throws where it does not know. */
    private async askPeer({ incarnation, instance }: InstanceInfo, stream: string): Promise<StreamOrigin> {
        const { origin } = await this.opts.hub.request(incarnation, "streams.find", { stream }, FIND_TIMEOUT_MS);
        if (origin === undefined) {
            throw new Error(`${instance} does not know the stream`);
        }
        return origin;
    }
}
