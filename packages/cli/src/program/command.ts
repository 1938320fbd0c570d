import { OperatorClient } from "../client/operator-client.js";
import type { CommandIo } from "./command-io.js";
import { type RawOptions, readText, readTexts } from "./command-options.js";
import type { ExitCode } from "./exit-code.js";
import { InputError } from "./input-error.js";

/** An option of one command. */
export interface CommandOption {
    /** Flag as passed to the argument parser, such as "--base". */
    readonly flag: string;
    readonly description: string;
}

/** Arguments, options and I/O of one run of a command. */
export interface CommandCall {
    /** Positional arguments in the order of the usage line. */
    readonly args: readonly string[];
    readonly opts: RawOptions;
    readonly io: CommandIo;
}

/** One command of the tool. */
export abstract class Command {
    /** Name and positional arguments, such as "diff <file>". */
    abstract readonly usage: string;
    abstract readonly description: string;
    readonly options: readonly CommandOption[] = [];

    /** Runs the command; throws if it fails. */
    abstract run(call: CommandCall): Promise<ExitCode>;

    /** Prints the value as JSON if --json is set, otherwise the lines. */
    protected print({ opts, io }: CommandCall, value: unknown, lines: readonly string[]): void {
        if (opts.json === true) {
            io.print(JSON.stringify(value, undefined, 4));
            return;
        }
        lines.forEach(line => io.print(line));
    }

    /** Creates the client of one instance: the one at the given address, or the first of --operator. */
    protected createClient({ opts, io }: CommandCall, address?: string): OperatorClient {
        const url = address ?? this.getOperatorUrls(opts)[0];
        const token = readText(opts, "token") ?? io.env.OSPREYREEL_TOKEN;
        if (url === undefined) {
            throw new InputError("--operator is missing", { result: "badRequest" });
        }
        if (token === undefined || token === "") {
            throw new InputError("--token or OSPREYREEL_TOKEN is missing", { result: "badRequest" });
        }
        return new OperatorClient({ url, token });
    }

    /** Reads all operator URLs, from repeated or comma-separated --operator options. */
    protected getOperatorUrls(opts: RawOptions): readonly string[] {
        return readTexts(opts, "operator").flatMap(list => list.split(","));
    }
}
