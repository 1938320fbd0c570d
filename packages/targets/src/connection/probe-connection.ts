import { IoTimeout } from "@ospreyreel/peer";
import { createConnection } from "node:net";

/** Outcome of a connection attempt; `dropped` where the other side ended the connection while it was to be held. */
export type ProbeOutcome = "open" | "dropped" | "refused" | "failed";

/**
 * Opens a connection to an address and closes it again, after it was held open for `holdMs`; `failed` where it is not open after
 * `timeoutMs`.
 */
export const probeConnection = (
    { host, port }: { readonly host: string; readonly port: number; },
    timeoutMs: number,
    holdMs = 0,
): Promise<ProbeOutcome> =>
    new Promise(resolve => {
        const socket = createConnection({ host, port });
        const end = (outcome: ProbeOutcome): void => {
            timeout.cancel();
            socket.destroy();
            resolve(outcome);
        };
        let timeout = new IoTimeout(() => end("failed"), timeoutMs);
        socket.once("connect", () => {
            timeout.cancel();
            if (holdMs === 0) {
                end("open");
                return;
            }
            timeout = new IoTimeout(() => end("open"), holdMs);
            socket.resume();
        });
        socket.once("end", () => end("dropped"));
        socket.once("error", (err: NodeJS.ErrnoException) => {
            if (err.code === "ECONNREFUSED") {
                end("refused");
            }
            else {
                // A reset that comes at once is reported before the connection is.
                end(err.code === "ECONNRESET" && holdMs > 0 ? "dropped" : "failed");
            }
        });
    });
