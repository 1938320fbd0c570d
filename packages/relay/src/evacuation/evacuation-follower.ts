import { getEra, type KvEvent, type KvHealth, type KvHistory } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { DocumentCodec } from "../document/document-codec.js";
import type { RelayLog } from "../relay-log.js";
import type { EvacuatedZones } from "./evacuated-zones.js";

/** Options of {@link EvacuationFollower}. */
export interface EvacuationFollowerOptions {
    readonly zones: EvacuatedZones;
    readonly codec: Pick<DocumentCodec, "getEvacuatedZone">;
    readonly hub: Pick<PeerHub, "peers" | "request" | "handle" | "changes">;
    readonly health: Pick<KvHealth, "isAvailable">;
    readonly history: Pick<KvHistory, "era">;
    readonly log: RelayLog;
    /** Returns a random number in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
}

/**
 * Interval of questions to peers while the KV service is unavailable, in milliseconds. An evacuation must be known within 5 s of its
 * acknowledgement, of which the detection of a silent KV service takes up to 3.2 s.
 */
const ASK_INTERVAL_MS = 500;

/** Peers that are asked at a time; one of them is likely to reach the KV service. In a large fleet each question may need a new link. */
const ASKED_PEERS = 2;

/** Time between questions to peers that have just been met, in milliseconds; after a partition many are met at once. */
const MIN_MEETING_INTERVAL_MS = 100;

const ASK_TIMEOUT_MS = 1_000;

/** Keeps the evacuated zones current from the KV service's watch, and from peers while the service is unavailable. */
export class EvacuationFollower {
    private readonly asking = new Set<string>();
    private readonly random: () => number;
    private metAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: EvacuationFollowerOptions) {
        this.random = opts.random ?? Math.random;
    }

    /** Starts responding to peers, and asking them while the KV service is unavailable. */
    start(): void {
        const { hub, zones } = this.opts;
        hub.handle("zones.evacuated", () => Promise.resolve({ zones: zones.list() }));
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "joined") {
                this.askMet(info);
            }
        });
        setInterval(() => this.askSome(), ASK_INTERVAL_MS).unref();
    }

    /** Applies an event of the watch that also brings the desired state. */
    handle(event: KvEvent): void {
        const { zones, codec } = this.opts;
        switch (event.kind) {
            case "put": {
                const zone = codec.getEvacuatedZone(event.entry.key);
                if (zone !== undefined) {
                    zones.add(zone, event.entry.modRevision);
                }
                break;
            }
            case "delete": {
                const zone = codec.getEvacuatedZone(event.key);
                if (zone !== undefined) {
                    zones.remove(zone, written => this.isFromEarlierEra(written, event.revision));
                }
                break;
            }
            case "resync":
                if (event.entries !== undefined) {
                    const listed = event.entries.flatMap(({ key, modRevision }) => {
                        const zone = codec.getEvacuatedZone(key);
                        return zone === undefined ? [] : [[zone, modRevision] as const];
                    });
                    const newest = Math.max(0, ...event.entries.map(entry => entry.modRevision));
                    zones.replace(new Map(listed), written => this.isFromEarlierEra(written, newest));
                }
                break;
        }
    }

    /** Whether the KV service has come back from an older copy since a revision, as far as is known here. */
    private isFromEarlierEra(written: number, removed = 0): boolean {
        return getEra(written) < Math.max(getEra(removed), this.opts.history.era);
    }

    private askMet(peer: InstanceInfo): void {
        const nowMs = performance.now();
        if (!this.opts.health.isAvailable && nowMs - this.metAtMs >= MIN_MEETING_INTERVAL_MS) {
            this.metAtMs = nowMs;
            void this.ask(peer);
        }
    }

    private askSome(): void {
        if (this.opts.health.isAvailable) {
            return;
        }
        this.opts.hub.peers()
            .map(peer => ({ peer, at: this.random() }))
            .toSorted((a, b) => a.at - b.at)
            .slice(0, ASKED_PEERS)
            .forEach(({ peer }) => void this.ask(peer));
    }

    /** Asks one peer, unless a question to it is open. Does not throw. */
    private async ask({ incarnation, instance }: InstanceInfo): Promise<void> {
        if (this.asking.has(incarnation)) {
            return;
        }
        this.asking.add(incarnation);
        try {
            const { zones } = await this.opts.hub.request(incarnation, "zones.evacuated", {}, ASK_TIMEOUT_MS);
            this.opts.zones.learn(zones, instance);
        }
        catch (err) {
            this.opts.log.write("evacuations not read from peer", { peer: instance, cause: String(err) });
        }
        finally {
            this.asking.delete(incarnation);
        }
    }
}
