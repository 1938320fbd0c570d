import type { DocumentHolder } from "../document/document-holder.js";
import { RetryAllowance } from "../policy/retry-allowance.js";
import type { FleetRoster } from "./fleet-roster.js";
import type { RelaySettings } from "./relay-settings.js";

/** Share of a target's connections that this fleet uses, since instances learn the size of the fleet with a delay. */
const CONNECTION_SHARE = 0.8;

/** Minimum connection limit of an instance for one target. */
const MIN_CONNECTIONS = 2;

/**
 * Watch pause for each instance of the fleet, in milliseconds; keeps the fleet's rate of reads independent of its size.
 */
const WATCH_PAUSE_PER_INSTANCE_MS = 6;

/** Limit of the pause, in milliseconds; changes must be active within two seconds, and this leaves most of that. */
const MAX_WATCH_PAUSE_MS = 600;

const MS_PER_S = 1_000;

/** Options of {@link FleetShares}. */
export interface FleetSharesOptions {
    readonly roster: Pick<FleetRoster, "size">;
    readonly documents: DocumentHolder;
    readonly retries: RelaySettings["retries"];
}

/** This instance's share of the limits of the whole fleet, by the number of known instances. */
export class FleetShares {
    private readonly allowances = new Map<string, RetryAllowance>();

    constructor(private readonly opts: FleetSharesOptions) {}

    /** Time between two reads of changes in the KV service, in milliseconds. */
    get watchPauseMs(): number {
        return Math.min(MAX_WATCH_PAUSE_MS, WATCH_PAUSE_PER_INSTANCE_MS * this.instances);
    }

    /** Retry allowance for a service. */
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

    /** Maximum number of this instance's connections to one target of a service. */
    getConnectionLimit(service: string): number {
        const maxConnections = this.opts.documents.current()?.findService(service)?.maxConnections
            ?? Number.POSITIVE_INFINITY;
        return Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * CONNECTION_SHARE / this.instances));
    }

    private get instances(): number {
        return this.opts.roster.size;
    }
}
