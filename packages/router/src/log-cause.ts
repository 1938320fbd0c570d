import type { OspreyError } from "@ospreyreel/errors";
import { createLog, type Log } from "@ospreyreel/telemetry";

const callersLog = createLog("callers");

/** Logs an error whose message has more detail than the message shown to the caller. */
export const logCause = (err: OspreyError, requestId: string, log: Log = callersLog): void => {
    if (err.message !== err.publicMessage) {
        log.warn({ requestId, result: err.result.name, message: err.message }, "a request failed");
    }
};
