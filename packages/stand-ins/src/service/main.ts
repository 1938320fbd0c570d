import sade from "sade";
import { runStandIn } from "../http-json/run-stand-in.js";
import { startServiceStandIn } from "./service-stand-in.js";

type Flags = Readonly<Record<string, string | number | boolean>>;

const start = async (flags: Flags): Promise<void> => {
    const name = String(flags.name);
    const standIn = await startServiceStandIn({ name, port: Number(flags.port), zone: String(flags.zone) });
    standIn.faults.delayMs = Number(flags["delay-ms"]);
    runStandIn("service", name, standIn);
};

sade("service-stand-in", true)
    .describe("Stands in for a plain service.")
    .option("--port", "TCP port; 0 takes a free one", 0)
    .option("--name", "Name of the target", "service")
    .option("--zone", "Availability zone", "zone")
    .option("--delay-ms", "Wait before each answer", 0)
    .action(start)
    .parse(process.argv);
