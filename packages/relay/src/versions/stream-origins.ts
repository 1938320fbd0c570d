import type { StreamOrigin } from "@ospreyreel/types";

/** A request that continues a stream of an earlier one. */
export interface ResumedStream {
    /** Name of the stream's first request; undefined where the caller does not tell a valid one. */
    readonly stream: string | undefined;
    /** Services at which the stream may have begun. */
    readonly services: readonly string[];
}

/** Knows at which service and version streams began, so that they are continued only there. */
export abstract class StreamOrigins {
    /** Records that the first event of a request's stream has arrived. */
    abstract recordBegun(stream: string, origin: StreamOrigin): void;

    /** Whether several versions of a service serve, so that a stream is not continued without its origin. */
    abstract isMixed(service: string): boolean;

    /** Finds where a stream began; undefined where that is not certain. Does not throw. */
    abstract find(resumed: ResumedStream): Promise<StreamOrigin | undefined>;
}
