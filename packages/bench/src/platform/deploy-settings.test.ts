import { parseRelaySettings } from "@ospreyreel/relay";
import test from "ava";
import { readFileSync } from "node:fs";

/** What the platform fills in, as far as the template uses it. */
const FIELDS = {
    nodeName: "edge-a-1",
    zone: "a",
    region: "north",
    zones: { a: "north" },
    ip: "10.1.0.19",
    internalPorts: [7200, 7215],
    seeds: ["10.1.0.19:8748"],
    listen: {
        front: "10.1.0.19:8740",
        ready: "10.1.0.19:8749",
        control: "10.1.0.19:8748",
        directory: "10.1.0.19:8746",
    },
    limits: { cpuShare: 0.324, cores: 1, maxFds: 4_100 },
    bounds: { graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 56 },
    provider: { address: "10.200.1.7:8742" },
};

/** Fills in the placeholders as the platform does. */
const render = (template: string): string =>
    template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, format: string | undefined) => {
        const value = path.split(".").reduce<unknown>(
            (fields, name) => (fields as Readonly<Record<string, unknown>>)[name],
            FIELDS,
        );
        return format === undefined ? String(value) : JSON.stringify(value);
    });

// Guards against callers' connections that are closed since the kernel's limit, which need not count connections, is taken for the platform's.
test("the settings on the platform name the descriptors that an instance may have open", t => {
    const template = readFileSync(
        new URL("../../../../deploy/settings.jsonc.template", import.meta.url),
        "utf8",
    );
    const { callerLimits, instance } = parseRelaySettings(render(template), "settings");
    t.is(instance, FIELDS.nodeName);
    t.is(callerLimits.descriptors, FIELDS.limits.maxFds);
});
