import type { Address } from "@ospreyreel/types";
import sade from "sade";
import { closeOnSigterm, printReady } from "../common/ready-line.js";
import { startFaultProxy } from "./fault-proxy.js";

const toAddress = (text: string): Address => {
    const { hostname, port } = new URL(`tcp://${text}`);
    return { host: hostname, port: Number(port) };
};

const run = async (opts: { readonly port: number; readonly target: string; }): Promise<void> => {
    const proxy = await startFaultProxy({
        target: toAddress(opts.target),
        port: Number(opts.port),
        withControl: true,
    });
    closeOnSigterm(() => proxy.close());
    printReady("fault-proxy", proxy.address, proxy.controlAt);
};

sade("ospreyreel-fault-proxy", true)
    .describe("Carries TCP connections to a target and injects faults.")
    .option("--port", "Port on 127.0.0.1; 0 takes a free one", 0)
    .option("--target", "Address to connect to, as host:port")
    .action(run)
    .parse(process.argv);
