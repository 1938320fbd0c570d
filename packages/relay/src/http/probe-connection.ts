import { IoTimeout } from "@ospreyreel/peer";
import { createConnection } from "node:net";

/** Outcome of a connection attempt. */
export type ProbeOutcome = "open" | "refused" | "failed";

/** Opens a connection to an address and closes it again; `failed` where it is not open after `timeoutMs`. */
export const probeConnection = (
    { host, port }: { readonly host: string; readonly port: number; },
    timeoutMs: number,
): Promise<ProbeOutcome> =>
    new Promise(resolve => {
        const socket = createConnection({ host, port });
        const end = (outcome: ProbeOutcome): void => {
            timeout.cancel();
            socket.destroy();
            resolve(outcome);
        };
        const timeout = new IoTimeout(() => end("failed"), timeoutMs);
        socket.once("connect", () => end("open"));
        socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED" ? "refused" : "failed"));
    });
