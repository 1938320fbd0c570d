import type { Address } from "@ospreyreel/types";

/** Settings of one daemon, with all defaults filled in. */
export interface Settings {
    readonly instance: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** Where callers connect. */
    readonly caller: Address;
    /** Where operators connect, and their token. */
    readonly operator: Address & { readonly token: string; };
    /** Where other instances connect, and the key they share. */
    readonly peer: Address & { readonly sharedKey: string; };
    readonly kv: KvSettings;
    readonly instanceList: InstanceListSettings;
    readonly metrics: MetricsSettings | undefined;
    readonly fleet: FleetSettings;
    readonly ledger: LedgerSettings;
    readonly orders: OrderSettings;
    readonly limits: LimitSettings;
}

/** The platform's key-value service. */
export interface KvSettings {
    /** Base URLs by IP number. */
    readonly endpoints: readonly string[];
    /** First part of every key; "/ospreyreel" by default. */
    readonly prefix: string;
    /** Longest wait for one call; 1,000 by default. */
    readonly deadlineMs: number;
}

/** The platform's list of instances and targets. */
export interface InstanceListSettings {
    readonly url: string;
    /** Time between reads; 1,000 by default. */
    readonly pollMs: number;
}

/** Where StatsD metrics are sent. */
export interface MetricsSettings {
    readonly host: string;
    readonly port: number;
}

/** Behaviour between instances. */
export interface FleetSettings {
    /** Time between heartbeats to each peer; 500 by default. */
    readonly heartbeatMs: number;
    /** Time without contact after which a peer counts as lost; 2,000 by default. */
    readonly peerTimeoutMs: number;
    /** Time without contact after which a copy holder seals its copy; 3,000 by default. */
    readonly sealAfterMs: number;
    /** How long callers may cache an address response; 10 by default. */
    readonly addressTtlS: number;
    /** Time without contact to the KV service and peers until requests are rejected; 0 means never; 60 by default. */
    readonly staleAfterS: number;
}

/** Grants and bills. */
export interface LedgerSettings {
    /** Number of records over which budgets are distributed; the same in the whole fleet; 16 by default. */
    readonly shards: number;
    /** Time between settlements; 1,000 by default. */
    readonly flushIntervalMs: number;
    /** How long a request key is stored; 900 by default. */
    readonly billWindowS: number;
    /** Longest wait for a grant; 2,000 by default. */
    readonly drawTimeoutMs: number;
}

/** Orders to engines. */
export interface OrderSettings {
    /** Loads of weights that the weight store allows per second; 1 by default. */
    readonly loadsPerS: number;
    /** Loads of weights that it allows in a burst after a pause; 2 by default. */
    readonly loadBurst: number;
    /** Time after which a holder's lease expires unless renewed, in seconds; 10 by default. */
    readonly leaseTtlS: number;
    /** Time before the lease's end in which engines that ignore fencing numbers get no orders; 2,000 by default. */
    readonly marginMs: number;
    /** Longest time from sending an order until it takes effect; 5,000 by default. */
    readonly maxOrderDelayMs: number;
}

/** Bounds on callers' requests and targets' responses. */
export interface LimitSettings {
    /** Largest request body; 1,048,576 by default. */
    readonly maxBodyBytes: number;
    /** Total size of the bodies of running requests; 134,217,728 by default. */
    readonly maxHeldBytes: number;
    /** Largest non-streamed response of a target; 16,777,216 by default. */
    readonly maxAnswerBytes: number;
    /** Largest request header; 16,384 by default. */
    readonly maxHeaderBytes: number;
    /** Longest time in which a request body has to arrive; 10,000 by default. */
    readonly bodyTimeoutMs: number;
    /** Time after which a caller's connection is closed if it reads nothing of its response; 30,000 by default. */
    readonly stallTimeoutMs: number;
    /** Requests that may wait for a target; 256 by default. */
    readonly maxQueued: number;
}
