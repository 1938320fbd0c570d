/** Environment, input and output of a command. */
export interface CommandIo {
    readonly env: Readonly<Record<string, string | undefined>>;
    /** Reads standard input to its end. */
    readonly readInput: () => Promise<string>;
    /** Writes one line to standard output. */
    readonly print: (line: string) => void;
    /** Writes one line to standard error. */
    readonly printError: (line: string) => void;
}
