import {
    type FaultProxy,
    PlatformStoreStandIn,
    type PlatformTargetOptions,
    PlatformTargetStandIn,
    type RunRequest,
    startFaultProxy,
} from "@ospreyreel/stand-ins";
import { mkdtemp, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { getFreePorts } from "../rig/free-ports.js";
import { type ProcessOptions, RigProcess, startProcess as startRigProcess } from "../rig/rig-process.js";

const MAIN = createRequire(import.meta.url).resolve("@ospreyreel/platform/main");

const PORTS_EACH = 5;
const PREPAID = 100_000;

/** Events of a model's answer, and tokens of each; together what the question allows. */
export const MODEL_EVENTS = 6;
export const MODEL_TOKENS_EACH = 5;
export const MODEL_TOKENS = 30;

const CALLER_HEADERS = { "host": "users.example", "deadline-ms": "4000", "authorization": "Bearer key-1" };

const getModelHeaders = (promptTokens: number): Record<string, string> => ({
    "token-counts": `${promptTokens},${MODEL_TOKENS}`,
    "model": "m",
});

/** What a fleet is started with. */
export interface PlatformFleetOptions {
    readonly count?: number;
    readonly prepaid?: number;
    /** Puts a proxy that injects faults between each instance and the store. */
    readonly withStoreProxies?: boolean;
    /** Time from SIGTERM to the end of an instance, in seconds; 8 by default. */
    readonly stopWithinS?: number;
    readonly modelCount?: number;
    /** How the model targets work. */
    readonly models?: Pick<PlatformTargetOptions, "stepMs" | "deadlyPart" | "downMs">;
}

const DEFAULT_MODEL_COUNT = 2;

/** Settings of one instance on the platform. */
type RelaySettingsJson = Readonly<Record<string, unknown>>;

/** One instance that runs as a process of its own. */
export interface PlatformInstance {
    readonly name: string;
    readonly settingsFile: string;
    readonly callers: string;
    readonly readiness: string;
    readonly directory: string;
    readonly metrics: string;
    process: RigProcess;
}

/** An answer to a caller. */
export interface CallerAnswer {
    readonly status: number;
    readonly body: string;
    readonly retryAfterS: number | undefined;
}

/** A desired state of the platform with a plain, a model and a public route. */
export const createPlatformDocument = (version: number, prepaid = PREPAID): unknown => {
    const route = { host: "users.example", timeoutMs: 4_000, targetLatencyMs: 300, maxAttempts: 2 };
    const stream = { kind: "streaming", resumable: true, sticky: true, gapAimMs: 300 };
    return {
        version,
        routes: [
            { ...route, name: "plain", prefix: "/plain/", kind: "idempotent", service: "plain" },
            { ...route, name: "once", prefix: "/once/", kind: "non_idempotent", service: "plain" },
            { ...route, ...stream, name: "model", prefix: "/model/", service: "model" },
            ...(version > 1 ? [{ ...route, name: "new", prefix: "/new/", kind: "idempotent", service: "plain" }] : []),
        ],
        services: [
            { name: "plain", healthPath: "/health", maxConns: 100 },
            { name: "model", healthPath: "/health", maxConns: 100, engine: { stride: MODEL_TOKENS_EACH } },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "team-1", apiKeys: ["key-1"], priority: 1, prepaid }],
    };
};

/** Instances, targets and the store of a platform, on loopback. */
export class PlatformFleet {
    readonly store = new PlatformStoreStandIn();
    readonly plain = new PlatformTargetStandIn({ id: "plain-1", service: "plain" });
    readonly models: readonly PlatformTargetStandIn[];
    readonly instances: PlatformInstance[] = [];
    /** One for each instance, if asked for. */
    readonly storeProxies: FaultProxy[] = [];
    private readonly agent = new Agent({ pipelining: 1 });
    private requests = 0;

    private constructor({ modelCount = DEFAULT_MODEL_COUNT, models = {} }: PlatformFleetOptions) {
        this.models = [...Array(modelCount).keys()].map(at =>
            new PlatformTargetStandIn({
                id: `model-${at + 1}`,
                service: "model",
                events: MODEL_EVENTS,
                stepMs: 5,
                ...models,
            })
        );
        this.models.forEach(target => {
            target.onRestart = () => this.store.put(...target.getEntry());
        });
    }

    /** Starts everything and resolves once all instances take requests. */
    static async start(opts: PlatformFleetOptions = {}): Promise<PlatformFleet> {
        const { count = 3, prepaid = PREPAID, withStoreProxies = false, stopWithinS = 8 } = opts;
        const fleet = new PlatformFleet(opts);
        const store = await fleet.store.start();
        for (const target of [fleet.plain, ...fleet.models]) {
            await target.start();
            fleet.store.put(...target.getEntry());
        }
        fleet.apply(1, prepaid);
        if (withStoreProxies) {
            fleet.storeProxies.push(...await startStoreProxies(store, count));
        }
        const storeFor = fleet.storeProxies.map(({ address }) => `${address.host}:${address.port}`);
        const ports = await getFreePorts(count * PORTS_EACH);
        const addresses = ports.map(port => `127.0.0.1:${port}`);
        const folder = await mkdtemp(join(tmpdir(), "ospreyreel-platform-"));
        const seeds = [...Array(count).keys()].map(at => addresses[at * PORTS_EACH + 3] ?? "");
        fleet.instances.push(
            ...await Promise.all([...Array(count).keys()].map(async at => {
                const own = addresses.slice(at * PORTS_EACH, (at + 1) * PORTS_EACH);
                return await startInstance({
                    folder,
                    name: `instance-${at}`,
                    zone: `zone-${at}`,
                    addresses: own,
                    seeds,
                    store: storeFor[at] ?? store,
                    stopWithinS,
                });
            })),
        );
        return fleet;
    }

    /** Requests that the targets ran. */
    get ran(): readonly RunRequest[] {
        return [this.plain, ...this.models].flatMap(target => target.ran);
    }

    /** Ends of what the instances logged; empty unless `ROARR_LOG` is `true`. */
    get logTails(): string {
        return this.instances.map(instance => `${instance.name}:\n${instance.process.stdoutTail}`).join("\n");
    }

    /** An id for a request that no other one has. */
    nextId(): string {
        this.requests += 1;
        return `attempt-${this.requests}`;
    }

    /** Writes a desired state. */
    apply(version: number, prepaid: number): void {
        this.store.put("op/config", createPlatformDocument(version, prepaid));
    }

    /** Has a model target say that it leaves. */
    announceLeaving(model: number): void {
        const target = this.models[model];
        if (target !== undefined) {
            this.store.put(...target.getEntry("draining"));
        }
    }

    /** Crashes a model target and starts it again under its id at another address. */
    async rebirth(model: number): Promise<void> {
        const target = this.models[model];
        if (target !== undefined) {
            await target.close();
            await target.start();
            this.store.put(...target.getEntry());
        }
    }

    /** Sends a caller's request to an instance; status 0 where the connection broke. */
    async call(instance: PlatformInstance, path: string, headers: Record<string, string> = {}): Promise<CallerAnswer> {
        const id = this.nextId();
        try {
            const res = await request(`http://${instance.callers}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                body: "question",
                headers: { ...CALLER_HEADERS, "attempt-id": id, ...headers },
            });
            const retryAfter = res.headers["retry-after"];
            return {
                status: res.statusCode,
                body: await res.body.text(),
                retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
            };
        }
        catch (err) {
            return { status: 0, body: String(err), retryAfterS: undefined };
        }
    }

    /** Asks a model for an answer to a prompt of so many tokens. */
    async ask(
        instance: PlatformInstance,
        promptTokens: number,
        headers: Record<string, string> = {},
    ): Promise<CallerAnswer> {
        return await this.call(instance, "/model/x", { ...headers, ...getModelHeaders(promptTokens) });
    }

    /** Headers of a request to a model with a prompt of so many tokens, with a new id. */
    createHeaders(promptTokens: number): Record<string, string> {
        return { ...CALLER_HEADERS, "attempt-id": this.nextId(), ...getModelHeaders(promptTokens) };
    }

    /** Addresses that an instance tells callers; empty where it tells none. */
    async resolve(instance: PlatformInstance): Promise<readonly string[]> {
        const url = `http://${instance.directory}/ospreyreel/resolve?name=users.example&region=r&zone=z`;
        const res = await request(url, { dispatcher: this.agent });
        const body = await res.body.text();
        return res.statusCode === 200 ? (JSON.parse(body) as { readonly addresses: string[]; }).addresses : [];
    }

    /** Starts an instance again with the same settings, without waiting until it is ready. */
    spawn(instance: PlatformInstance): RigProcess {
        instance.process = new RigProcess(getProcessOptions(instance.settingsFile));
        return instance.process;
    }

    /** Starts an instance again with the same settings. */
    async restart(instance: PlatformInstance): Promise<void> {
        instance.process = await startProcess(instance.settingsFile);
    }

    /** Ends everything that was started. */
    async close(): Promise<void> {
        this.instances.forEach(instance => instance.process.kill("SIGKILL"));
        await this.agent.destroy();
        await Promise.all([this.plain, ...this.models, this.store, ...this.storeProxies].map(part => part.close()));
    }
}

const startStoreProxies = async (store: string, count: number): Promise<readonly FaultProxy[]> => {
    const [host = "", port = ""] = store.split(":");
    const target = { host, port: Number(port) };
    return await Promise.all([...Array(count).keys()].map(() => startFaultProxy({ target })));
};

const getProcessOptions = (settingsFile: string): ProcessOptions => ({
    script: MAIN,
    env: { OSPREYREEL_SETTINGS: settingsFile },
});

const startProcess = (settingsFile: string): Promise<RigProcess> => startRigProcess(getProcessOptions(settingsFile));

interface InstanceStart {
    readonly folder: string;
    readonly name: string;
    readonly zone: string;
    /** Addresses for callers, readiness, directory, peers and metrics. */
    readonly addresses: readonly string[];
    readonly seeds: readonly string[];
    readonly store: string;
    readonly stopWithinS: number;
}

const startInstance = async (
    { folder, name, zone, addresses, seeds, store, stopWithinS }: InstanceStart,
): Promise<PlatformInstance> => {
    const [callers = "", readiness = "", directory = "", peer = "", metrics = ""] = addresses;
    const settings: RelaySettingsJson = {
        instance: name,
        availabilityZone: zone,
        region: "region-1",
        callers,
        readiness,
        directory,
        peer,
        metrics,
        sharedKey: "platform-fleet",
        seeds,
        kv: { address: store },
        retries: { ratio: 0.2, windowS: 10, slack: 50 },
        stopWithinS,
        addressTtlS: 0.5,
    };
    const settingsFile = join(folder, `${name}.jsonc`);
    await writeFile(settingsFile, `// ${name}\n${JSON.stringify(settings)}`);
    return { name, settingsFile, callers, readiness, directory, metrics, process: await startProcess(settingsFile) };
};
