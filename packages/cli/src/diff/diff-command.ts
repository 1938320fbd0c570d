import { OspreyError } from "@ospreyreel/errors";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { readDocumentFile } from "../program/read-document-file.js";

/** Shows what applying a file would change. */
export class DiffCommand extends Command {
    override readonly usage = "diff <file>";
    override readonly description = "Show what applying a document would change";

    override async run(call: CommandCall): Promise<ExitCode> {
        const [file = ""] = call.args;
        const client = this.createClient(call);
        const text = await readDocumentFile(file);
        const { faults, diff, baseRevision } = await client.check(text);
        if (faults.length > 0) {
            const details = faults.map(fault => `${file}:${fault}`);
            throw new OspreyError(`${file} is not a valid successor of revision ${baseRevision}`, {
                result: "invalidDocument",
                details,
            });
        }
        const lines = diff.length === 0 ? [`no changes from revision ${baseRevision}`] : diff;
        this.print(call, { baseRevision, diff }, lines);
        return ExitCode.ok;
    }
}
