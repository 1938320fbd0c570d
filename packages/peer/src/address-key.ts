import type { Address } from "@ospreyreel/types";

/** Returns the key of an address in maps and sets. */
export const getAddressKey = (address: Address): string => `${address.host} ${address.port}`;
