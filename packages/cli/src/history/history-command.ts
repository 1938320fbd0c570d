import { type RawOptions, readCount } from "../program/command-options.js";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { formatTable } from "../program/format-table.js";

const readPage = (opts: RawOptions) => {
    const before = readCount(opts, "before");
    const limit = readCount(opts, "limit");
    return { ...(before === undefined ? {} : { before }), ...(limit === undefined ? {} : { limit }) };
};

/** Lists accepted revisions. */
export class HistoryCommand extends Command {
    override readonly usage = "history";
    override readonly description = "List accepted revisions, the latest first";
    override readonly options = [
        { flag: "--before", description: "Only revisions below this one" },
        { flag: "--limit", description: "Maximum number of revisions; 20 by default" },
    ];

    override async run(call: CommandCall): Promise<ExitCode> {
        const page = await this.createClient(call).getHistory(readPage(call.opts));
        const rows = page.history.map(entry => [
            String(entry.revision),
            new Date(entry.acceptedAtMs).toISOString(),
            entry.author,
            entry.editId,
        ]);
        this.print(call, page, formatTable([["REVISION", "ACCEPTED", "AUTHOR", "EDIT ID"], ...rows]));
        return ExitCode.ok;
    }
}
