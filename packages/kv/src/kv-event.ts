import type { KvEntry } from "./kv-entry.js";

/**
 * What a watch reports; at `resync` changes may have been missed. Where the client read the prefix for it, the entries
 * come along; else the follower reads the prefix anew.
 */
export type KvEvent =
    | { readonly kind: "put"; readonly entry: KvEntry; }
    | { readonly kind: "delete"; readonly key: string; }
    | { readonly kind: "resync"; readonly entries?: readonly KvEntry[]; };
