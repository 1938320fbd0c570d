import type { KvEntry } from "./kv-entry.js";

/**
 * An event of a watch. At `resync` changes may have been missed; it carries the entries where the client has read the
 * prefix again, otherwise the subscriber reads the prefix again.
 */
export type KvEvent =
    | { readonly kind: "put"; readonly entry: KvEntry; }
    | {
        readonly kind: "delete";
        readonly key: string;
        /** Revision of the service at the removal; undefined where the client does not tell it. */
        readonly revision?: number;
    }
    | { readonly kind: "resync"; readonly entries?: readonly KvEntry[]; };
