import { MAX_REQUEST_BYTES } from "../message-memory.js";

/** Limits on what callers hold at an instance, whoever they are. */
export interface CallerLimits {
    /** Maximum number of open connections at the callers' port. */
    readonly maxConnections: number;
    /** Number of them beyond which requests are refused. */
    readonly maxServedConnections: number;
    /** Maximum number of open connections at each of the ports for readiness, addresses and metrics. */
    readonly maxStatusConnections: number;
    /** Maximum size of the bodies of all open requests, in bytes. */
    readonly maxHeldBytes: number;
    /** Maximum size of what unfinished requests hold beside their bodies, in bytes. */
    readonly maxReadingBytes: number;
    /** Time in which a body must bring bytes, in milliseconds. */
    readonly progressTimeoutMs: number;
}

/** Shares of the descriptors of the process: a request takes one at the caller and up to one at a target. */
const CONNECTION_SHARE = 1 / 2;
const STATUS_CONNECTION_SHARE = 1 / 32;

/** Share of the connections whose requests are served; the others tell their callers to come back. */
const SERVED_SHARE = 15 / 16;

/** Room for the platform's own checks where there are few descriptors. */
const MIN_STATUS_CONNECTIONS = 16;

/** Equal to the time after which a connection without a request is closed. */
const DEFAULT_PROGRESS_TIMEOUT_MS = 15_000;

/**
 * Limits as set, or their defaults where they are not set or 0. `ownDescriptors` is the number of descriptors that the kernel allows the process.
 */
export const getCallerLimits = (
    set: Partial<Omit<CallerLimits, "maxServedConnections"> & { readonly descriptors: number; }>,
    ownDescriptors: number,
): CallerLimits => {
    const descriptors = set.descriptors || ownDescriptors;
    const maxConnections = set.maxConnections || Math.floor(descriptors * CONNECTION_SHARE);
    return {
        maxConnections,
        maxServedConnections: Math.ceil(maxConnections * SERVED_SHARE),
        maxStatusConnections: set.maxStatusConnections
            || Math.max(MIN_STATUS_CONNECTIONS, Math.floor(descriptors * STATUS_CONNECTION_SHARE)),
        maxHeldBytes: set.maxHeldBytes || MAX_REQUEST_BYTES,
        maxReadingBytes: set.maxReadingBytes || MAX_REQUEST_BYTES,
        progressTimeoutMs: set.progressTimeoutMs || DEFAULT_PROGRESS_TIMEOUT_MS,
    };
};
