/** A TCP address by IP number. */
export interface Address {
    /** IPv4 or IPv6 number, never a name. */
    readonly host: string;
    readonly port: number;
}
