import type { Address, InstanceInfo } from "@ospreyreel/types";

/** Body of GET /v1/addresses. */
export interface AddressResponse {
    /** In order of preference; the caller tries the next one when a connection fails. */
    readonly addresses: readonly (Address & { readonly instance: string; readonly availabilityZone: string; })[];
    /** How long the caller may cache the response, in seconds. */
    readonly ttl_s: number;
}

/** Creates the response from instances in order of preference. */
export const getAddressResponse = (ordered: readonly InstanceInfo[], ttlS: number): AddressResponse => ({
    addresses: ordered.map(info => ({
        ...info.caller,
        instance: info.instance,
        availabilityZone: info.availabilityZone,
    })),
    ttl_s: ttlS,
});
