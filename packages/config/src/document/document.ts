/** The operators' document: teams and their access, the targets that serve requests, and prepaid budgets. */
export interface OperatorsDocument {
    readonly teams: readonly Team[];
    readonly budgets: readonly Budget[];
    readonly targets: readonly Target[];
    readonly offerings: readonly Offering[];
    readonly rules: readonly Rule[];
}

/** Callers that pay from one budget. */
export interface Team {
    readonly name: string;
    readonly budget: string;
    readonly keys: readonly TeamKey[];
}

/** A caller's key; only its SHA-256 is stored. */
export interface TeamKey {
    readonly id: string;
    /** SHA-256 of the key, 64 hexadecimal digits. */
    readonly sha256: string;
}

/** A prepaid budget; top-ups can only be added. */
export interface Budget {
    readonly name: string;
    readonly topUps: readonly TopUp[];
    /** A closed budget serves no new requests. */
    readonly closed?: boolean;
}

/** One prepayment. */
export interface TopUp {
    readonly id: string;
    readonly tokens: number;
}

/** Kind of a target's interface. */
export type TargetKind = "engine" | "service";

/** A model engine or a plain service. */
export interface Target {
    readonly name: string;
    readonly kind: TargetKind;
    /** Base URL by IP number, without a path. */
    readonly url: string;
    readonly availabilityZone: string;
    /** Requests that the target serves concurrently. */
    readonly capacity: number;
    /** Whether the target rejects an order with an outdated fencing number. */
    readonly checksFencing?: boolean;
}

/** A model or service that callers can be routed to. */
export type Offering = ModelOffering | ServiceOffering;

/** Fields that all offerings share. */
export interface OfferingBase {
    readonly name: string;
    readonly targets: readonly string[];
    /** 0 (first) to 9 (last); 5 by default. */
    readonly priority?: number;
    /** Longest time from arrival to the first byte, in milliseconds; 30,000 by default. */
    readonly deadlineMs?: number;
}

/** A model, optionally with an adapter and a version. */
export interface ModelOffering extends OfferingBase {
    readonly kind: "model";
    readonly model: string;
    readonly adapter?: string;
    readonly version?: string;
    /** Cap and default of a request's max_tokens. */
    readonly maxTokens: number;
    /** Whether a request may be sent to another target after a failure; true by default. */
    readonly idempotent?: boolean;
}

/** A plain service called by path. */
export interface ServiceOffering extends OfferingBase {
    readonly kind: "service";
    /** Charged for each call; 0 by default. */
    readonly tokensPerCall?: number;
    /** False by default. */
    readonly idempotent?: boolean;
}

/** Which offering a team's callers reach under a name. */
export interface Rule {
    readonly name: string;
    /** Names of teams; "*" for all. */
    readonly teams: readonly string[];
    /** The model or service name in callers' requests. */
    readonly asks: string;
    /** Shares are relative; a caller always gets the same route while the shares are unchanged. */
    readonly routes: readonly Route[];
}

/** One of the offerings that a rule distributes callers over. */
export interface Route {
    readonly offering: string;
    readonly share: number;
}
