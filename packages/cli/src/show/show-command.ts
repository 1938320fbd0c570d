import { readCount } from "../program/command-options.js";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";

/** Shows an accepted document. */
export class ShowCommand extends Command {
    override readonly usage = "show";
    override readonly description = "Show the active document or an earlier revision";
    override readonly options = [{ flag: "--revision", description: "Revision to show; the active one by default" }];

    override async run(call: CommandCall): Promise<ExitCode> {
        const document = await this.createClient(call).getDocument(readCount(call.opts, "revision"));
        this.print(call, document, [document.text]);
        return ExitCode.ok;
    }
}
