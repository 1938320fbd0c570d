import type { DocumentEdit } from "@ospreyreel/config";
import { hasResult } from "@ospreyreel/errors";
import { randomUUID } from "node:crypto";
import type { OperatorClient } from "../client/operator-client.js";
import { readCount, readText } from "../program/command-options.js";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { readDocumentFile } from "../program/read-document-file.js";

/** Applies a document to the fleet. */
export class ApplyCommand extends Command {
    override readonly usage = "apply <file>";
    override readonly description = "Apply a document to the fleet";
    override readonly options = [
        { flag: "--base", description: "Revision that the edit is based on; the active one by default" },
        { flag: "--edit-id", description: "Id that identifies repeats of the same edit; random by default" },
        { flag: "--author", description: "Author name in the history; USER by default" },
    ];

    override async run(call: CommandCall): Promise<ExitCode> {
        const client = this.createClient(call);
        const edit = await this.createEdit(call, client);
        try {
            const { revision, alreadyApplied } = await client.apply(edit);
            const repeated = alreadyApplied ? " (already applied)" : "";
            this.print(call, { revision, alreadyApplied, editId: edit.editId }, [`revision ${revision}${repeated}`]);
            return ExitCode.ok;
        }
        catch (err) {
            if (hasResult(err, "documentOutcomeUnknown")) {
                call.io.printError(`repeat with: --base ${edit.baseRevision} --edit-id ${edit.editId}`);
            }
            throw err;
        }
    }

    private async createEdit({ args, opts, io }: CommandCall, client: OperatorClient): Promise<DocumentEdit> {
        const text = await readDocumentFile(args[0] ?? "");
        const editId = readText(opts, "edit-id");
        return {
            text,
            baseRevision: readCount(opts, "base") ?? await client.getCurrentRevision(),
            editId: editId ?? randomUUID(),
            author: readText(opts, "author") ?? io.env.USER ?? "unknown",
            // An id from the operator may belong to an earlier edit whose outcome is unknown.
            repeat: editId !== undefined,
        };
    }
}
