/** Structured values of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Log of decisions about requests. */
export abstract class RelayLog {
    /** Writes one line about a request or a change of the process's state. */
    abstract write(event: string, fields: LogFields): void;
}
