import sade from "sade";
import { closeOnSigterm, printReady } from "../common/ready-line.js";
import { startInstanceListStandIn } from "./instance-list-stand-in.js";

const run = async (opts: { readonly port: number; readonly "lag-ms": number; }): Promise<void> => {
    const standIn = await startInstanceListStandIn({ port: Number(opts.port), lagMs: Number(opts["lag-ms"]) });
    closeOnSigterm(() => standIn.close());
    printReady("instance-list", standIn.address);
};

sade("ospreyreel-stand-in-instance-list", true)
    .describe("Stands in for the platform's list of live and leaving machines.")
    .option("--port", "Port on 127.0.0.1; 0 takes a free one", 0)
    .option("--lag-ms", "Time after which a replacement is visible", 0)
    .action(run)
    .parse(process.argv);
