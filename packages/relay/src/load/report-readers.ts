import { NameScores, type PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { TargetDirectory } from "../targets/target-directory.js";
import { getStartKey, type Target } from "../targets/target.js";
import { getReaderCount, type ReportScale } from "./report-interval.js";

/** Options of {@link ReportReaders}. */
export interface ReportReadersOptions {
    readonly hub: Pick<PeerHub, "peers" | "self">;
    readonly directory: Pick<TargetDirectory, "list">;
    /** Whether the targets of a service have reports; each by default. */
    readonly hasReports?: (service: string) => boolean;
}

/** Key by which the readers are chosen. */
const READERS_KEY = "readers of target reports";

/**
 * Chooses the instances that read the targets' reports, by rendezvous over the live instances of a region. Each target has one reader among
 * them. Targets in zones without instances are read in each region.
 */
export class ReportReaders {
    private own: ReadonlySet<string> = new Set();
    /** Names of the instances and targets from which `own` was chosen. */
    private chosenFrom = "";

    constructor(private readonly opts: ReportReadersOptions) {}

    /** Sizes by which the interval is chosen. */
    getScale(): ReportScale {
        return {
            instances: this.listInstances().length,
            fleet: this.opts.hub.peers().length + 1,
            targets: this.listShared().length,
        };
    }

    /** Other instances that share the reports. */
    listPeers(): readonly InstanceInfo[] {
        const { hub } = this.opts;
        const { region } = hub.self();
        return hub.peers().filter(info => info.region === region);
    }

    /** Targets that this instance reads; none where it is no reader. */
    listOwnTargets(): readonly Target[] {
        const names = this.listInstances().map(info => info.instance);
        const shared = this.listShared();
        // Hashing all names costs more than the rest of a round, so it is repeated only when they have changed.
        const chosenFrom = `${names.join(" ")}\n${shared.map(getStartKey).join(" ")}`;
        if (chosenFrom !== this.chosenFrom) {
            this.own = this.chooseOwn(names, shared.map(getStartKey));
            this.chosenFrom = chosenFrom;
        }
        return shared.filter(target => this.own.has(getStartKey(target)));
    }

    /** Names of the starts that this instance reads. */
    private chooseOwn(names: readonly string[], starts: readonly string[]): ReadonlySet<string> {
        const readers = chooseReaders(names);
        const own = readers.indexOf(this.opts.hub.self().instance);
        if (own < 0) {
            return new Set();
        }
        const scores = new NameScores(readers);
        return new Set(starts.filter(start => {
            const byReader = scores.getScores(start);
            return byReader.every((score, index) => index === own || score < (byReader[own] ?? 0));
        }));
    }

    private listInstances(): readonly InstanceInfo[] {
        return [this.opts.hub.self(), ...this.listPeers()].filter(info => info.state === "live");
    }

    private listShared(): readonly Target[] {
        const { hub, directory, hasReports } = this.opts;
        const self = hub.self();
        const regions = new Map([...hub.peers(), self].map(info => [info.availabilityZone, info.region]));
        return directory.list().map(state => state.target)
            .filter(target => !target.leaving && hasReports?.(target.service) !== false)
            .filter(target => (regions.get(target.availabilityZone) ?? self.region) === self.region);
    }
}

const chooseReaders = (names: readonly string[]): readonly string[] => {
    const scores = new NameScores(names).getScores(READERS_KEY);
    return names.map((name, index) => ({ name, score: scores[index] ?? 0 }))
        .toSorted((a, b) => b.score - a.score)
        .slice(0, getReaderCount(names.length))
        .map(({ name }) => name);
};
