import sade from "sade";
import { runStandIn } from "../http-json/run-stand-in.js";
import { startWeightStoreStandIn } from "./weight-store-stand-in.js";

type Flags = Readonly<Record<string, string | number | boolean>>;

const start = async (flags: Flags): Promise<void> => {
    const standIn = await startWeightStoreStandIn({
        port: Number(flags.port),
        loadsPerS: Number(flags["loads-per-s"]),
        burst: Number(flags.burst),
    });
    runStandIn("weight-store", String(flags.name), standIn);
};

sade("weight-store-stand-in", true)
    .describe("Stands in for the rate-limited weight store.")
    .option("--port", "TCP port; 0 takes a free one", 0)
    .option("--name", "Name in the ready line", "weight-store")
    .option("--loads-per-s", "Loads allowed each second", 1)
    .option("--burst", "Loads allowed at once after a pause", 2)
    .action(start)
    .parse(process.argv);
