import sade from "sade";
import { runStandIn } from "../http-json/run-stand-in.js";
import { type PlatformTargetOptions, PlatformTargetStandIn } from "./platform-target-stand-in.js";

const start = async (options: string): Promise<void> => {
    const opts = JSON.parse(options) as PlatformTargetOptions;
    const target = new PlatformTargetStandIn(opts);
    await target.start();
    runStandIn("target", opts.id, { address: target.address, close: () => target.drain() });
};

sade("platform-target <options>", true)
    .describe(
        "Stands in for a target of the platform, with its options as JSON; on SIGTERM it ends with its last response.",
    )
    .action(start)
    .parse(process.argv);
