/** Structured values of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Where decisions about requests are written. */
export abstract class RelayLog {
    /** Writes one line about a request or a change of what the process believes. */
    abstract write(event: string, fields: LogFields): void;
}
