import type { StreamRef } from "./stream-ref.js";

/** A request about to be dispatched, as recorded at its copy holder. */
export interface Intent extends StreamRef {
    readonly id: string;
    readonly team: string;
    readonly budget: string;
    readonly requestKey: string;
    readonly offering: string;
    /** Only engines store a record of the requests that they ran. */
    readonly targetKind: "engine" | "service";
    /** Tokens reserved for the worst case. */
    readonly reserved: number;
    readonly idempotent: boolean;
}
