import { BoundedMap } from "../bounded-map.js";

/** Time over which the demand is averaged, in milliseconds. */
const MEAN_MS = 20_000;

/** Maximum number of prompt parts whose demand is known. */
const MAX_PARTS = 2_048;

interface PartRequests {
    /** Requests, each of which counts less the older it is. */
    readonly weighted: number;
    readonly atMs: number;
}

/** Requests of this instance by prompt part. */
export class PartDemand {
    private readonly parts = new BoundedMap<PartRequests>(MAX_PARTS);

    /** Records a request with a part; returns the part's requests per millisecond at this instance. */
    record(part: string, nowMs: number): number {
        const known = this.parts.get(part);
        const weighted = 1 + (known === undefined ? 0 : known.weighted * Math.exp((known.atMs - nowMs) / MEAN_MS));
        this.parts.set(part, { weighted, atMs: nowMs });
        // A single request is the least that is known of any part.
        return (weighted - 1) / MEAN_MS;
    }
}
