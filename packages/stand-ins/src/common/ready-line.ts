import type { Address } from "@ospreyreel/types";

/** What a stand-in process tells its parent once it accepts connections. */
export interface ReadyLine {
    readonly ready: true;
    readonly role: string;
    readonly address: Address;
    /** Where faults are set while the main address refuses connections. */
    readonly control: Address | undefined;
    readonly pid: number;
}

/** Prints the one line that says that this process is ready. */
export const printReady = (role: string, address: Address, control?: Address): void => {
    const line: ReadyLine = { ready: true, role, address, control, pid: process.pid };
    process.stdout.write(`${JSON.stringify(line)}\n`);
};

/** Closes and ends this process on SIGTERM. */
export const closeOnSigterm = (close: () => Promise<void>): void => {
    process.once("SIGTERM", () => {
        void close().then(() => process.exit(0));
    });
};
