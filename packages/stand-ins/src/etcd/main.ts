import sade from "sade";
import { closeOnSigterm, printReady } from "../common/ready-line.js";
import { startEtcdStandIn } from "./etcd-stand-in.js";

const run = async (opts: { readonly port: number; }): Promise<void> => {
    const standIn = await startEtcdStandIn({ port: Number(opts.port) });
    closeOnSigterm(() => standIn.close());
    printReady("kv", standIn.address, standIn.controlAt);
};

sade("ospreyreel-stand-in-kv", true)
    .describe("Stands in for the platform's key-value service.")
    .option("--port", "Port on 127.0.0.1; 0 takes a free one", 0)
    .action(run)
    .parse(process.argv);
