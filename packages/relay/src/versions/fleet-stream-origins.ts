import type { PeerHub } from "@ospreyreel/peer";
import type { PeerRequests, StreamOrigin } from "@ospreyreel/types";
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
    /** Whether this instance would know of a version that has begun to serve. */
    readonly isViewCurrent: () => boolean;
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
const FIND_TIMEOUT_MS = 100;

/** Instances that are asked beyond those that keep a mark, since instances join and leave. */
const EXTRA_ASKED = 2;

/** Answer of one peer. */
type FindResponse = PeerRequests["streams.find"]["res"];

/** Where an origin is known from. */
type OriginSource = "own" | "history" | "peer" | "unknown";

/**
 * Keeps where streams began, while several versions serve also at other instances. Where only one version has served, by
 * what this instance and its peers know, no origin has to be known.
 */
export class FleetStreamOrigins extends StreamOrigins {
    private readonly known = new BoundedMap<KnownOrigin>(MAX_STREAMS);
    private readonly keepers: ResponsibleInstances;
    private readonly sender: MarkSender;
    /** Versions of each service whose streams' marks have all been sent, at that time. */
    private readonly sharedFor = new Map<string, string>();

    constructor(private readonly opts: FleetStreamOriginsOptions) {
        super();
        this.keepers = new ResponsibleInstances(opts);
        this.sender = new MarkSender({ ...opts, keepers: this.keepers });
    }

    /** Starts storing other instances' marks and responding to their questions. */
    serve(): void {
        const { hub, history, isViewCurrent, nowMs } = this.opts;
        hub.handle("streams.mark", ({ marks }) => {
            marks.forEach(({ stream, service, version }) =>
                this.known.set(stream, { service, version, atMs: nowMs() })
            );
            return Promise.resolve({});
        });
        hub.handle("streams.find", ({ stream, services }) =>
            Promise.resolve({
                origin: this.get(stream),
                versions: services.flatMap(service => history.listWithAges(service)),
                isCurrent: isViewCurrent(),
            }));
    }

    /** Number of streams whose origins are kept. */
    get size(): number {
        return this.known.size;
    }

    /** Sends the marks of this instance's streams at services with several versions, each time these change. */
    shareMixed(): void {
        const { history } = this.opts;
        for (const service of history.services) {
            const versions = history.list(service).join("\n");
            if (history.isMixed(service) && this.sharedFor.get(service) !== versions) {
                this.sharedFor.set(service, versions);
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
        else {
            this.sharedFor.delete(origin.service);
        }
    }

    override isMixed(service: string): boolean {
        return this.opts.history.isMixed(service);
    }

    override async find(resumed: ResumedStream): Promise<StreamOrigin | undefined> {
        const { stream, services } = resumed;
        const own = stream === undefined ? undefined : this.get(stream);
        if (own !== undefined) {
            return this.record(resumed, "own", own);
        }
        const told = await this.askPeers(stream ?? "", services);
        const origin = told.find(response => response.origin !== undefined)?.origin;
        if (origin !== undefined) {
            return this.record(resumed, "peer", origin);
        }
        // A peer may have read of a version that this instance has not, for example while only this one cannot reach the KV service.
        told.flatMap(({ versions }) => versions)
            .forEach(({ service, version, msAgo }) => this.opts.history.remember(service, [version], msAgo));
        const isCertain = this.opts.isViewCurrent() || told.some(({ isCurrent = false }) => isCurrent);
        const only = isCertain ? this.opts.history.getOnlyOrigin(services) : undefined;
        return this.record(resumed, only === undefined ? "unknown" : "history", only);
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

    /** Asks peers that may keep the stream's mark; resolves early once one of them knows its origin. */
    private async askPeers(stream: string, services: readonly string[]): Promise<readonly FindResponse[]> {
        const { hub } = this.opts;
        const self = hub.self().instance;
        const asked = this.keepers.choose(stream, getKeeperCount(this.keepers.count) + EXTRA_ASKED)
            .filter(({ instance }) => instance !== self);
        const responses: FindResponse[] = [];
        return await new Promise(resolve => {
            const asking = asked.map(async ({ incarnation }) => {
                const response = await this.askPeer(incarnation, { stream, services });
                responses.push(...response === undefined ? [] : [response]);
                if (response?.origin !== undefined) {
                    resolve(responses);
                }
            });
            void Promise.all(asking).then(() => resolve(responses));
        });
    }

    private async askPeer(
        incarnation: string,
        req: PeerRequests["streams.find"]["req"],
    ): Promise<FindResponse | undefined> {
        try {
            return await this.opts.hub.request(incarnation, "streams.find", req, FIND_TIMEOUT_MS);
        }
        catch {
            // Another peer may know; the caller's log line tells where none did.
            return undefined;
        }
    }
}
