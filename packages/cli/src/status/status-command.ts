import { toOspreyError } from "@ospreyreel/errors";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { formatTable } from "../program/format-table.js";
import { InputError } from "../program/input-error.js";
import { createStatusRows, type StatusReport } from "./status-rows.js";

const HEADING = ["INSTANCE", "ZONE", "STATE", "REVISION", "LAG", "TOLD BY"];

/** Shows state, active revision and lag of each instance. */
export class StatusCommand extends Command {
    override readonly usage = "status";
    override readonly description = "Show state, revision and lag of every instance";

    override async run(call: CommandCall): Promise<ExitCode> {
        const operatorUrls = this.getOperatorUrls(call.opts);
        if (operatorUrls.length === 0) {
            throw new InputError("--operator is missing", { result: "badRequest" });
        }
        const reports = await Promise.all(operatorUrls.map(operator => this.queryStatus(call, operator)));
        const rows = createStatusRows(reports);
        const cells = rows.map(row => [
            row.instance,
            row.availabilityZone,
            row.state,
            String(row.revision),
            String(row.lag),
            row.source,
        ]);
        this.print(call, { instances: rows }, formatTable([HEADING, ...cells]));
        return reports.every(report => report.status !== undefined) ? ExitCode.ok : ExitCode.refused;
    }

    private async queryStatus(call: CommandCall, operator: string): Promise<StatusReport> {
        const client = this.createClient(call, operator);
        try {
            return { operator, status: await client.getStatus(), failure: undefined };
        }
        catch (err) {
            return { operator, status: undefined, failure: toOspreyError(err).result.name };
        }
    }
}
