/** Error code that replaces a connection reset. */
const RESET_CODE = "ERR_CONNECTION_CUT";

/**
 * Changes the error code of resets before the HTTP client sees them. The client takes a reset for the end of a response
 * without a length, which would make a truncated response look complete.
 */
export const replaceResetCode = (err: NodeJS.ErrnoException): void => {
    if (err.code === "ECONNRESET") {
        err.code = RESET_CODE;
    }
};
