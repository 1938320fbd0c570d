import type { DocumentHolder } from "../document/document-holder.js";
import { RetryAllowance } from "../policy/retry-allowance.js";
import type { FleetRoster } from "./fleet-roster.js";
import type { RelaySettings } from "./relay-settings.js";

/** Share of a target's connections that this fleet takes, since the others' counts are known late. */
const CONNECTION_SHARE = 0.8;

/** Connections to one target that an instance may always have. */
const MIN_CONNECTIONS = 2;

/** Pause of a watch for each instance of the fleet, so that the fleet's reads do not grow with it; in milliseconds. */
const WATCH_PAUSE_PER_INSTANCE_MS = 6;

/** Changes of targets and of the desired state must be in force within two seconds; this leaves most of that. */
const MAX_WATCH_PAUSE_MS = 600;

const MS_PER_S = 1_000;

/** What an instance's share of the fleet's bounds depends on. */
export interface FleetSharesOptions {
    readonly roster: Pick<FleetRoster, "size">;
    readonly documents: DocumentHolder;
    readonly retries: RelaySettings["retries"];
}

/** This instance's part of what the whole fleet may do, by the instances that are known. */
export class FleetShares {
    private readonly allowances = new Map<string, RetryAllowance>();

    constructor(private readonly opts: FleetSharesOptions) {}

    /** Time between two reads of changes in the KV service, in milliseconds. */
    get watchPauseMs(): number {
        return Math.min(MAX_WATCH_PAUSE_MS, WATCH_PAUSE_PER_INSTANCE_MS * this.instances);
    }

    /** Repeated sends to a service. */
    getRetries(service: string): RetryAllowance {
        const { ratio, windowS, slack } = this.opts.retries;
        const allowance = this.allowances.get(service) ?? new RetryAllowance({
            ratio,
            slack,
            windowMs: windowS * MS_PER_S,
            getInstances: () => this.instances,
        });
        this.allowances.set(service, allowance);
        return allowance;
    }

    /** Most connections of this instance to one target of a service. */
    getConnectionLimit(service: string): number {
        const most = this.opts.documents.current()?.findService(service)?.maxConnections ?? Number.POSITIVE_INFINITY;
        return Math.max(MIN_CONNECTIONS, Math.floor(most * CONNECTION_SHARE / this.instances));
    }

    private get instances(): number {
        return this.opts.roster.size;
    }
}
