import type { Address, InstanceInfo } from "@ospreyreel/types";

const formatAddress = (address: Address): string => `${address.host}:${address.port}`;

/** Reads IP:PORT. */
export const parseAddress = (text: string): Address => {
    const at = text.lastIndexOf(":");
    return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
};

/** Callers' addresses in a random order in which larger instances come sooner, as IP:PORT. */
export const drawAddresses = (instances: readonly InstanceInfo[]): readonly string[] =>
    instances.map(({ caller, cores = 1 }) => ({ caller, at: -Math.log(1 - Math.random()) / cores }))
        .toSorted((a, b) => a.at - b.at)
        .map(({ caller }) => formatAddress(caller));
