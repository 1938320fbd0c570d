import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";

/** Prints the state of one instance. */
export class DumpCommand extends Command {
    override readonly usage = "dump <address>";
    override readonly description = "Print the state of the instance with this operator address as JSON";

    override async run(call: CommandCall): Promise<ExitCode> {
        const dump = await this.createClient(call, call.args[0]).getDump();
        call.io.print(JSON.stringify(dump, undefined, 4));
        return ExitCode.ok;
    }
}
