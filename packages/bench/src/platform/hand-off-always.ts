/** Loaded into the instances of a fleet before their main module: the first one hands off all connections to the others. */
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { pathToFileURL } from "node:url";

const relay = dirname(createRequire(import.meta.url).resolve("@ospreyreel/relay"));
const { HandoffPolicy } = await import(pathToFileURL(join(relay, "policy/handoff-policy.js")).href) as {
    readonly HandoffPolicy: { readonly prototype: object; };
};

if (process.env["OSPREYREEL_SETTINGS"]?.includes("instance-0") === true) {
    Object.defineProperty(HandoffPolicy.prototype, "isHandingOff", { get: () => true });
}
