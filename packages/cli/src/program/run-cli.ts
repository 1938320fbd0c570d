import { toOspreyError } from "@ospreyreel/errors";
import { readFileSync } from "node:fs";
import sade from "sade";
import { ApplyCommand } from "../apply/apply-command.js";
import { CheckCommand } from "../check/check-command.js";
import { DiffCommand } from "../diff/diff-command.js";
import { DumpCommand } from "../dump/dump-command.js";
import { HashKeyCommand } from "../hash-key/hash-key-command.js";
import { HistoryCommand } from "../history/history-command.js";
import { ShowCommand } from "../show/show-command.js";
import { StatusCommand } from "../status/status-command.js";
import type { CommandIo } from "./command-io.js";
import type { RawOptions } from "./command-options.js";
import type { Command } from "./command.js";
import { ExitCode, getExitCode } from "./exit-code.js";

const COMMANDS: readonly Command[] = [
    new CheckCommand(),
    new DiffCommand(),
    new ApplyCommand(),
    new ShowCommand(),
    new HistoryCommand(),
    new StatusCommand(),
    new DumpCommand(),
    new HashKeyCommand(),
];

/** Options parsed as strings even if their value looks like a number. */
const STRING_OPTIONS = ["operator", "token", "base", "edit-id", "author", "revision", "before", "limit"];

type RunCommand = (io: CommandIo) => Promise<ExitCode>;

const readVersion = (): string => {
    const text = readFileSync(new URL("../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { readonly version: string; }).version;
};

const createProgram = (): sade.Sade => {
    const program = sade("ospreyreel").version(readVersion());
    program.option("--operator", "URL of an instance's operator port, http://127.0.0.1:PORT; may be repeated");
    program.option("--token", "Bearer token; OSPREYREEL_TOKEN by default");
    program.option("--json", "Print JSON");
    for (const command of COMMANDS) {
        program.command(command.usage, command.description);
        command.options.forEach(({ flag, description }) => program.option(flag, description));
        program.action((...values: readonly unknown[]): RunCommand => {
            const opts = values.at(-1) as RawOptions;
            const args = values.slice(0, -1).filter(value => value !== undefined).map(String);
            return io => command.run({ args, opts, io });
        });
    }
    return program;
};

const parseArguments = (argv: readonly string[]): RunCommand | undefined => {
    // sade exits with 1 on bad usage, which here means that the fleet refused the request.
    const onUsageError = () => {
        process.exitCode = ExitCode.invalidInput;
    };
    process.once("exit", onUsageError);
    const parsed = createProgram().parse([...argv], {
        lazy: true,
        string: STRING_OPTIONS,
        boolean: ["json", "settings"],
        unknown: flag => `Unknown option: ${flag}`,
    }) as sade.LazyOutput | undefined;
    process.off("exit", onUsageError);
    return parsed === undefined ? undefined : (parsed.handler(...parsed.args) as RunCommand);
};

const printFailure = (io: CommandIo, err: unknown): void => {
    const { message, details, result } = toOspreyError(err);
    io.printError(`${result.code} ${result.name}: ${message}`);
    details.forEach(line => io.printError(`  ${line}`));
};

/** Runs the tool with arguments in the form of `process.argv`; returns its exit code. */
export const runCli = async (argv: readonly string[], io: CommandIo): Promise<ExitCode> => {
    const run = parseArguments(argv);
    if (run === undefined) {
        return ExitCode.ok;
    }
    try {
        return await run(io);
    }
    catch (err) {
        printFailure(io, err);
        return getExitCode(err);
    }
};
