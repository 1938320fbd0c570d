import type { OperatorsDocument, Target } from "@ospreyreel/config";
import type { EngineFaults, EngineRecord, ServiceRecord } from "@ospreyreel/stand-ins";
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { request } from "undici";
import type { Cleanup } from "../rig/cleanup.js";
import type { SettingsChange } from "../rig/fleet-options.js";
import type { Fleet } from "../rig/fleet.js";
import { toUrl } from "../rig/platform.js";
import { startFleet } from "../rig/start-fleet.js";

/** Key of a team that every rule lets through. */
export const CALLER_KEY = "key-of-alpha";
/** Key of a team that no rule names. */
export const STRANGER_KEY = "key-of-beta";
/** Key of a team whose budget is smaller than the worst case of any request. */
export const POOR_KEY = "key-of-gamma";

/** Most tokens of one answer of the fleet's offerings. */
export const MAX_TOKENS = 4_096;

const BYTES_PER_KIB = 1_024;

const createTeam = (name: string, key: string): OperatorsDocument["teams"][number] => ({
    name,
    budget: name,
    keys: [{ id: "first", sha256: createHash("sha256").update(key).digest("hex") }],
});

const createDocument = (targets: readonly Target[]): OperatorsDocument => ({
    teams: [createTeam("alpha", CALLER_KEY), createTeam("beta", STRANGER_KEY), createTeam("gamma", POOR_KEY)],
    budgets: [
        { name: "alpha", topUps: [{ id: "first", tokens: 1_000_000_000 }] },
        { name: "beta", topUps: [{ id: "first", tokens: 1_000_000 }] },
        { name: "gamma", topUps: [{ id: "first", tokens: 10 }] },
    ],
    targets,
    offerings: [
        { name: "drafts", kind: "model", model: "reader", maxTokens: MAX_TOKENS, targets: ["engine-1"] },
        {
            name: "drafts-once",
            kind: "model",
            model: "reader-once",
            maxTokens: MAX_TOKENS,
            targets: ["engine-1"],
            idempotent: false,
        },
        { name: "tickets", kind: "service", targets: ["service-1"], tokensPerCall: 2 },
    ],
    rules: [
        { name: "drafts", teams: ["alpha", "gamma"], asks: "reader", routes: [{ offering: "drafts", share: 1 }] },
        { name: "once", teams: ["alpha"], asks: "reader-once", routes: [{ offering: "drafts-once", share: 1 }] },
        { name: "tickets", teams: ["alpha"], asks: "tickets", routes: [{ offering: "tickets", share: 1 }] },
    ],
});

/** What a test of the callers' side can choose. */
export interface CallerFleetOptions {
    readonly instances?: number;
    readonly settings?: SettingsChange;
    readonly engineArgs?: readonly string[];
    readonly env?: Readonly<Record<string, string>>;
    /** Descriptors that each instance may have open; those of this process by default. */
    readonly maxDescriptors?: number;
    readonly cleanup: Cleanup;
}

/** A fleet with one engine and one service, seen from its callers. */
export class CallerFleet {
    constructor(readonly fleet: Fleet) {}

    /** Base URL of an instance for callers. */
    url(index = 0): string {
        return this.fleet.instance(index).callerUrl;
    }

    /** What the engine ran. */
    async getRuns(): Promise<EngineRecord["runs"]> {
        return (await this.readRecord<EngineRecord>("engine-1")).runs;
    }

    /** What the service did. */
    async getServiceCalls(): Promise<ServiceRecord["calls"]> {
        return (await this.readRecord<ServiceRecord>("service-1")).calls;
    }

    /** Changes the named faults of the engine. */
    async setEngineFaults(change: Partial<EngineFaults>): Promise<void> {
        const body = JSON.stringify(change);
        const headers = { "content-type": "application/json" };
        const res = await request(`${this.targetUrl("engine-1")}/stand-in/faults`, { method: "POST", headers, body });
        await res.body.dump();
    }

    /** Resident memory of an instance's process, in bytes. */
    async getMemoryBytes(index = 0): Promise<number> {
        const status = await readFile(`/proc/${this.fleet.instance(index).process.pid}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * BYTES_PER_KIB;
    }

    private async readRecord<T>(target: string): Promise<T> {
        const res = await request(`${this.targetUrl(target)}/stand-in/record`);
        return await res.body.json() as T;
    }

    private targetUrl(name: string): string {
        const started = this.fleet.platform.targets.find(({ target }) => target.name === name);
        return toUrl(started?.process.ready.address);
    }
}

/** Starts a fleet for tests of the callers' side; one instance by default. */
export const startCallerFleet = async (opts: CallerFleetOptions): Promise<CallerFleet> => {
    const fleet = await startFleet({
        instances: opts.instances ?? 1,
        cleanup: opts.cleanup,
        createDocument,
        targets: [
            { name: "engine-1", kind: "engine", availabilityZone: "zone-a", capacity: 64, args: opts.engineArgs ?? [] },
            { name: "service-1", kind: "service", availabilityZone: "zone-a" },
        ],
        settings: { ...opts.settings, fleet: { addressTtlS: 1, ...opts.settings?.fleet } },
        env: opts.env ?? {},
        ...(opts.maxDescriptors === undefined ? {} : { maxDescriptors: opts.maxDescriptors }),
    });
    return new CallerFleet(fleet);
};
