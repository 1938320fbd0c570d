import type { Address } from "@ospreyreel/types";

/** A started stand-in as its process entry sees it. */
export interface RunningStandIn {
    readonly address: Address;
    readonly close: () => Promise<void>;
}

/** Prints the ready line of a stand-in process and ends the process on SIGTERM or SIGINT. */
export const runStandIn = (role: string, name: string, standIn: RunningStandIn): void => {
    const stop = (): void => {
        void standIn.close().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    console.log(JSON.stringify({ ready: true, role, name, address: standIn.address, pid: process.pid }));
};
