import type { Address } from "@ospreyreel/types";
import { getAddressKey } from "./address-key.js";
import { Dialer } from "./dialer.js";

/** Options of {@link DialTable}. */
export interface DialTableOptions {
    readonly isLinked: (address: Address) => boolean;
    /** Connects and serves the link until it ends; throws where no link could be opened. */
    readonly connect: (address: Address, signal: AbortSignal) => Promise<void>;
    /** Interval of the checks for an existing link, in milliseconds. */
    readonly checkMs: number;
    /** Receives the running task of a dialer. */
    readonly onStart: (task: Promise<void>) => void;
}

/** Runs one dialer for each address that is to be linked. */
export class DialTable {
    private readonly opts: DialTableOptions;
    private readonly dialers = new Map<string, Dialer>();

    constructor(opts: DialTableOptions) {
        this.opts = opts;
    }

    /** Whether an address is to be linked. */
    has(address: Address): boolean {
        return this.dialers.has(getAddressKey(address));
    }

    /** Sets the addresses to dial, and stops dialing all others; open links stay. */
    setAddresses(addresses: readonly Address[]): void {
        const wanted = new Map(addresses.map(address => [getAddressKey(address), address]));
        for (const [key, dialer] of this.dialers) {
            if (!wanted.has(key)) {
                dialer.stop();
                this.dialers.delete(key);
            }
        }
        for (const [key, address] of wanted) {
            if (!this.dialers.has(key)) {
                this.add(key, address);
            }
        }
    }

    private add(key: string, address: Address): void {
        const dialer = new Dialer({
            isLinked: () => this.opts.isLinked(address),
            connect: signal => this.opts.connect(address, signal),
            checkMs: this.opts.checkMs,
        });
        this.dialers.set(key, dialer);
        this.opts.onStart(dialer.run());
    }
}
