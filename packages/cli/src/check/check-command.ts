import { parseSettings } from "@ospreyreel/config";
import { toOspreyError } from "@ospreyreel/errors";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { InputError } from "../program/input-error.js";
import { readDocumentFile, readTextFile } from "../program/read-document-file.js";

const checkSettingsFile = async (file: string): Promise<void> => {
    const text = await readTextFile(file);
    try {
        parseSettings(text, file);
    }
    catch (err) {
        const { message, details } = toOspreyError(err);
        throw new InputError(message, { result: "invalidSettings", details });
    }
};

/** Checks a file offline. */
export class CheckCommand extends Command {
    override readonly usage = "check <file>";
    override readonly description = "Check a document or settings file offline";
    override readonly options = [{ flag: "--settings", description: "The file holds a daemon's settings" }];

    override async run(call: CommandCall): Promise<ExitCode> {
        const [file = ""] = call.args;
        if (call.opts.settings === true) {
            await checkSettingsFile(file);
        }
        else {
            await readDocumentFile(file);
        }
        this.print(call, { valid: true }, [`${file} is valid`]);
        return ExitCode.ok;
    }
}
