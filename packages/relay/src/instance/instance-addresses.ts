import type { Address } from "@ospreyreel/types";

/** Formats an address as IP:PORT. */
export const formatAddress = (address: Address): string => `${address.host}:${address.port}`;

/** Parses IP:PORT. */
export const parseAddress = (text: string): Address => {
    const at = text.lastIndexOf(":");
    return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
};
