import sade from "sade";
import { runStandIn } from "../http-json/run-stand-in.js";
import { ENGINE_DEFAULTS } from "./engine-options.js";
import { startEngineStandIn } from "./engine-stand-in.js";

type Flags = Readonly<Record<string, string | number | boolean>>;

const start = async (flags: Flags): Promise<void> => {
    const name = String(flags.name);
    const standIn = await startEngineStandIn({
        name,
        port: Number(flags.port),
        zone: String(flags.zone),
        capacity: Number(flags.capacity),
        firstTokenMs: Number(flags["first-token-ms"]),
        tokenMs: Number(flags["token-ms"]),
        slowing: Number(flags.slowing),
        cachedPrefixes: Number(flags["cached-prefixes"]),
        loadLagMs: Number(flags["load-lag-ms"]),
        cacheEventLagMs: Number(flags["cache-event-lag-ms"]),
        cacheEventGap: Number(flags["cache-event-gap"]),
        checksFencing: flags["checks-fencing"] === true,
        weightStoreUrl: String(flags["weight-store-url"]),
    });
    runStandIn("engine", name, standIn);
};

sade("engine-stand-in", true)
    .describe("Stands in for a model engine.")
    .option("--port", "TCP port; 0 takes a free one", 0)
    .option("--name", "Name of the target", ENGINE_DEFAULTS.name)
    .option("--zone", "Availability zone", ENGINE_DEFAULTS.zone)
    .option("--capacity", "Requests in the batch at once", ENGINE_DEFAULTS.capacity)
    .option("--first-token-ms", "Time to the first token", ENGINE_DEFAULTS.firstTokenMs)
    .option("--token-ms", "Time of a token in a batch of one", ENGINE_DEFAULTS.tokenMs)
    .option("--slowing", "How much longer a token takes in a full batch, as a share", ENGINE_DEFAULTS.slowing)
    .option("--cached-prefixes", "Prompt prefixes kept", ENGINE_DEFAULTS.cachedPrefixes)
    .option("--load-lag-ms", "Lag of load reports", ENGINE_DEFAULTS.loadLagMs)
    .option("--cache-event-lag-ms", "Lag of cache events", ENGINE_DEFAULTS.cacheEventLagMs)
    .option("--cache-event-gap", "Every n-th cache event is never told", ENGINE_DEFAULTS.cacheEventGap)
    .option("--weight-store-url", "Where weights are loaded from; empty for nowhere", "")
    .option("--checks-fencing", "Refuse orders with an old fencing number", false)
    .action(start)
    .parse(process.argv);
