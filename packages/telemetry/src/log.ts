import { Roarr } from "roarr";

/** The subset of a logger that packages use; only state changes are logged. */
export interface Log {
    info(context: Readonly<Record<string, string | number | boolean>>, message: string): void;
    warn(context: Readonly<Record<string, string | number | boolean>>, message: string): void;
}

/** Creates the logger of one part of a process; ROARR_LOG=true writes its lines to standard output. */
export const createLog = (part: string): Log => {
    const logger = Roarr.child({ part });
    return {
        info: (context, message) => logger.info({ ...context }, message),
        warn: (context, message) => logger.warn({ ...context }, message),
    };
};
