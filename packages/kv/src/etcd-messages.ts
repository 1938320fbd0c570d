import type { KvEntry } from "./kv-entry.js";

/** A key in the JSON gateway's format, which omits zero fields. */
export interface GatewayEntry {
    readonly key: string;
    readonly value?: string;
    readonly mod_revision?: string;
}

/** Response to a range read. */
export interface GatewayRange {
    readonly kvs?: readonly GatewayEntry[];
}

/** Response to a transaction. */
export interface GatewayTxn {
    readonly header: { readonly revision: string; };
    readonly succeeded?: boolean;
    readonly responses?: readonly { readonly response_range?: GatewayRange; }[];
}

/** Response to the renewal of a lease; without a TTL where the lease has ended. */
export interface GatewayKeepAlive {
    readonly result?: { readonly TTL?: string; };
}

/** One message of a watch. */
export interface GatewayWatchMessage {
    readonly result?: {
        readonly created?: boolean;
        readonly canceled?: boolean;
        readonly events?: readonly { readonly type?: string; readonly kv: GatewayEntry; }[];
    };
    readonly error?: unknown;
}

/** Encodes a key or value as base64. */
export const toBase64 = (data: string | Uint8Array): string =>
    (typeof data === "string" ? Buffer.from(data) : Buffer.from(data.buffer, data.byteOffset, data.byteLength))
        .toString("base64");

/** Decodes a base64 key. */
export const keyFromBase64 = (base64: string): string => Buffer.from(base64, "base64").toString();

/** Returns the end of the range of all keys that start with a prefix, as base64; "\0" means no end to the gateway. */
export const prefixEnd = (prefix: string): string => {
    const bytes = Buffer.from(prefix);
    for (let index = bytes.length - 1; index >= 0; index--) {
        const byte = bytes[index] ?? 0;
        if (byte < 0xff) {
            bytes[index] = byte + 1;
            return bytes.subarray(0, index + 1).toString("base64");
        }
    }
    return toBase64("\0");
};

/** Converts an entry of a gateway response. */
export const toKvEntry = (entry: GatewayEntry): KvEntry => ({
    key: keyFromBase64(entry.key),
    value: new Uint8Array(Buffer.from(entry.value ?? "", "base64")),
    modRevision: Number(entry.mod_revision ?? 0),
});
