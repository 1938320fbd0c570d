import { hasResult } from "@ospreyreel/errors";
import { InputError } from "./input-error.js";

/** Exit codes of the tool. */
export const ExitCode = {
    ok: 0,
    /** The fleet refused the request or was unreachable; nothing was applied. */
    refused: 1,
    /** Bad usage or invalid input; no edit was sent to the fleet. */
    invalidInput: 2,
    /** The edit may have been applied; repeat it with the printed edit id. */
    outcomeUnknown: 3,
} as const;

/** One of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Returns the exit code for an error. */
export const getExitCode = (err: unknown): ExitCode => {
    if (err instanceof InputError) {
        return ExitCode.invalidInput;
    }
    return hasResult(err, "documentOutcomeUnknown") ? ExitCode.outcomeUnknown : ExitCode.refused;
};
