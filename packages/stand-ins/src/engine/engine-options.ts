/** Options of the engine stand-in; times in milliseconds. */
export interface EngineOptions {
    readonly name?: string;
    readonly host?: string;
    /** 0, the default, takes a free port. */
    readonly port?: number;
    readonly zone?: string;
    /** Requests in the batch at once. */
    readonly capacity?: number;
    readonly firstTokenMs?: number;
    /** Time of a token in a batch of one. */
    readonly tokenMs?: number;
    /** How much longer a token takes in a full batch, as a share. */
    readonly slowing?: number;
    /** Prompt prefixes kept. */
    readonly cachedPrefixes?: number;
    /** Part of the first token's time that a cached prefix saves, 0 to 1. */
    readonly prefixSaving?: number;
    readonly loadLagMs?: number;
    readonly cacheEventLagMs?: number;
    /** Every n-th cache event is never told; 0 for none. */
    readonly cacheEventGap?: number;
    /** Whether an order with an old fencing number is refused. */
    readonly checksFencing?: boolean;
    /** Where weights are loaded from; an empty string, the default, loads nothing. */
    readonly weightStoreUrl?: string;
    /** How long an ended stream can still be read. */
    readonly keepMs?: number;
}

/** Defaults of the engine stand-in. */
export const ENGINE_DEFAULTS: Required<EngineOptions> = {
    name: "engine",
    host: "127.0.0.1",
    port: 0,
    zone: "zone",
    capacity: 4,
    firstTokenMs: 5,
    tokenMs: 1,
    slowing: 0.3,
    cachedPrefixes: 8,
    prefixSaving: 0.8,
    loadLagMs: 0,
    cacheEventLagMs: 0,
    cacheEventGap: 0,
    checksFencing: false,
    weightStoreUrl: "",
    keepMs: 60_000,
};

/** Faults to inject; those with a count or a single use wear off. */
export interface EngineFaults {
    /** Requests still to be answered with status 500 without running. */
    failNext: number;
    /** Cuts the next streamed answer's connection after this many chunks; the run goes on. */
    dieMidStream: number | undefined;
    /** Further wait before each first token, in milliseconds. */
    stallMs: number;
    /** Refuses new requests with status 503. */
    refuse: boolean;
    /** Answers the next request with another request's id and text. */
    crossReplies: boolean;
    /** Refuses new requests with status 503 and says so in load reports. */
    leaving: boolean;
}

/** No faults. */
export const createEngineFaults = (): EngineFaults => ({
    failNext: 0,
    dieMidStream: undefined,
    stallMs: 0,
    refuse: false,
    crossReplies: false,
    leaving: false,
});
