import {
    type FaultProxy,
    getFreePorts,
    PlatformStoreStandIn,
    type PlatformTargetOptions,
    PlatformTargetStandIn,
    type RunRequest,
    startFaultProxy,
} from "@ospreyreel/stand-ins";
import type { Address } from "@ospreyreel/types";
import { mkdtemp, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Agent, request } from "undici";
import { RigProcess } from "../rig/rig-process.js";
import { InstanceLinks } from "./instance-links.js";
import { PeerLinks } from "./peer-links.js";
import { REDIRECTS_VARIABLE } from "./redirects-variable.js";
import { TargetProcess } from "./target-process.js";

const MAIN = createRequire(import.meta.url).resolve("@ospreyreel/platform/main");

/** Main file of another build, which every other start of an instance runs; the same build by default. */
const OTHER_BUILD = process.env["OSPREYREEL_OTHER_BUILD"] ?? MAIN;

/** Module that has an instance connect to its peers through {@link PeerLinks}. */
const REDIRECT = new URL("redirect-connections.js", import.meta.url).href;

const PORTS_EACH = 6;

/** Which of its ports other instances connect to: those of callers, of peers and of connections that are handed off. */
const PEER_PORTS = [0, 3, 5] as const;

const PREPAID = 100_000;
/** Time that a caller waits for addresses, in milliseconds. */
const DIRECTORY_TIMEOUT_MS = 1_000;

const READY_TIMEOUT_MS = 30_000;

/** Peers that the settings of an instance name. */
const MAX_SEEDS = 3;

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
    /** Puts proxies that inject faults between the store, callers and targets and the instances; false by default. */
    readonly withProxies?: boolean;
    /** Has proxies and links pass resets on as such; they end such connections in order by default. */
    readonly passesResets?: boolean;
    /** Number of instances, the first ones, whose links to targets can be cut; none by default. */
    readonly cuttable?: number;
    /** Puts links that can be cut between each two instances; false by default. */
    readonly withPeerLinks?: boolean;
    /** Number of targets of the plain service; one by default. */
    readonly plainCount?: number;
    /** How the targets of the plain service work. */
    readonly plains?: Pick<PlatformTargetOptions, "stepMs" | "deadlyBody" | "downMs">;
    readonly modelCount?: number;
    /** How the model targets work. */
    readonly models?: Pick<
        PlatformTargetOptions,
        "events" | "stepMs" | "deadlyPart" | "deadlyBody" | "eventsBeforeCrash" | "downMs" | "capacityTokens"
    >;
    /** Runs each target as a process of its own; false by default. */
    readonly withTargetProcesses?: boolean;
    /** Software versions of the model targets, which then name them in their events; all the same by default. */
    readonly modelVersions?: readonly string[];
    /** Availability zones of the model targets; all in the same one by default. */
    readonly modelZones?: readonly string[];
    /** Time from SIGTERM to the end of an instance, in seconds; {@link STOP_WITHIN_S} by default. */
    readonly stopWithinS?: number;
    /** Time for which callers may keep addresses, in seconds; half a second by default. */
    readonly addressTtlS?: number;
    /** Age of the oldest copy that the store comes back from, in seconds; that of the settings by default. */
    readonly maxCopyAgeS?: number;
    /** Further settings of the instances; none by default. */
    readonly settings?: RelaySettingsJson;
    /** Modules that are loaded into each instance before its main one; none by default. */
    readonly modules?: readonly string[];
    /** Arguments of node itself; none by default. */
    readonly nodeArgs?: readonly string[];
    /** Descriptors that each instance may have open; those of this process by default. */
    readonly maxDescriptors?: number;
    /** Takes the lines that the instances write. */
    readonly onLine?: (instance: string, line: string) => void;
}

const DEFAULT_MODEL_COUNT = 2;

/** Time in which an instance ends after SIGTERM, in seconds; `graceS` of the users' sites. */
export const STOP_WITHIN_S = 8;

/** Settings of one instance on the platform. */
type RelaySettingsJson = Readonly<Record<string, unknown>>;

/** Addresses that an instance tells callers. */
export interface AddressAnswer {
    readonly addresses: readonly string[];
    readonly ttlS: number;
}

/** Limit of cold targets in the desired state. */
interface ModelCold {
    readonly coldPerS: number;
    readonly coldStartS: number;
}

/** What varies between desired states. */
export interface PlatformDocumentOptions {
    readonly version: number;
    readonly prepaid?: number;
    /** Time-out of the model routes; 4,000 by default. */
    readonly modelTimeoutMs?: number;
    /** How many requests a second cold model targets take, and how long they are cold after a start; no limit by default. */
    readonly modelCold?: ModelCold;
    /** Whether there is the route `new`; from the second version on by default. */
    readonly hasNewRoute?: boolean;
}

/** One instance that runs as a process of its own. */
export interface PlatformInstance {
    readonly name: string;
    readonly settingsFile: string;
    readonly callers: string;
    readonly readiness: string;
    readonly directory: string;
    readonly peer: string;
    readonly metrics: string;
    readonly settings: RelaySettingsJson;
    process: RigProcess;
}

/** An answer to a caller. */
export interface CallerAnswer {
    readonly status: number;
    readonly body: string;
    readonly retryAfterS: number | undefined;
}

/** A desired state of the platform with plain, model and public routes. */
export const createPlatformDocument = (version: number, prepaid = PREPAID): unknown =>
    createDocument({ version, prepaid });

const createDocument = (
    { version, prepaid = PREPAID, modelTimeoutMs = 4_000, modelCold, hasNewRoute = version > 1 }:
        PlatformDocumentOptions,
): unknown => {
    const route = { host: "users.example", timeoutMs: 4_000, targetLatencyMs: 300, maxAttempts: 2 };
    const stream = { kind: "streaming", timeoutMs: modelTimeoutMs, sticky: true, gapAimMs: 300, service: "model" };
    return {
        version,
        routes: [
            { ...route, name: "plain", prefix: "/plain/", kind: "idempotent", service: "plain" },
            { ...route, name: "once", prefix: "/once/", kind: "non_idempotent", service: "plain" },
            { ...route, ...stream, name: "model", prefix: "/model/", resumable: true },
            { ...route, ...stream, name: "fixed", prefix: "/fixed/" },
            ...(hasNewRoute ? [{ ...route, name: "new", prefix: "/new/", kind: "idempotent", service: "plain" }] : []),
        ],
        services: [
            { name: "plain", healthPath: "/health", maxConns: 100 },
            {
                name: "model",
                healthPath: "/health",
                maxConns: 100,
                engine: { stride: MODEL_TOKENS_EACH },
                ...modelCold,
            },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "team-1", apiKeys: ["key-1"], priority: 1, prepaid }],
    };
};

/** Instances, targets and the store of a platform, on loopback. */
export class PlatformFleet {
    readonly store = new PlatformStoreStandIn();
    /** Targets of the plain service. */
    readonly plains: readonly PlatformTargetStandIn[];
    readonly models: readonly PlatformTargetStandIn[];
    readonly instances: PlatformInstance[] = [];
    /** One for each instance, if asked for. */
    readonly storeProxies: FaultProxy[] = [];
    /** Between callers and each instance, if asked for. */
    readonly callerProxies: FaultProxy[] = [];
    /** Before the plain target and the models, if asked for. */
    readonly targetProxies: FaultProxy[] = [];
    /** Links to targets of the instances that can be cut off from them. */
    readonly targetLinks: InstanceLinks[] = [];
    /** Links between the instances, if asked for. */
    peerLinks: PeerLinks | undefined;
    private readonly agent = new Agent({ pipelining: 1 });
    /** Targets that left for good; they announce nothing more. */
    private readonly removed = new Set<string>();
    private requests = 0;
    private starts = 0;
    private withProxies = false;
    private passesResets = false;
    /** Changes of targets, one after the other. */
    private targetChanges: Promise<void> = Promise.resolve();
    private document: unknown;
    private modules: readonly string[] = [];
    private process: Pick<PlatformFleetOptions, "nodeArgs" | "maxDescriptors"> = {};
    private onLine: PlatformFleetOptions["onLine"];

    private constructor(opts: PlatformFleetOptions) {
        const { plainCount = 1, plains = {}, models = {}, modelVersions = [], modelZones = [] } = opts;
        const StandIn = opts.withTargetProcesses === true ? TargetProcess : PlatformTargetStandIn;
        const { modelCount = Math.max(DEFAULT_MODEL_COUNT, modelVersions.length) } = opts;
        this.plains = [...Array(plainCount).keys()].map(at =>
            new StandIn({ id: `plain-${at + 1}`, service: "plain", ...plains })
        );
        this.models = [...Array(modelCount).keys()].map(at =>
            new StandIn({
                id: `model-${at + 1}`,
                service: "model",
                events: MODEL_EVENTS,
                stepMs: 5,
                ...getVersion(modelVersions[at]),
                ...getZone(modelZones[at]),
                ...models,
            })
        );
        this.targets.forEach((target, at) => {
            target.onRestart = () => this.announce(at);
        });
    }

    /** Starts everything and resolves once all instances take requests; throws, with nothing left running, where one is not ready in time. */
    static async start(opts: PlatformFleetOptions = {}): Promise<PlatformFleet> {
        const { count = 3, prepaid = PREPAID, withProxies = false, passesResets = false } = opts;
        const { stopWithinS = STOP_WITHIN_S, addressTtlS = 0.5 } = opts;
        const fleet = new PlatformFleet(opts);
        fleet.withProxies = withProxies;
        fleet.passesResets = passesResets;
        fleet.modules = opts.modules ?? [];
        fleet.process = opts;
        fleet.onLine = opts.onLine;
        const store = await fleet.store.start();
        for (const at of fleet.targets.keys()) {
            await fleet.startTarget(at);
        }
        fleet.apply(1, prepaid);
        const ports = await getFreePorts(count * PORTS_EACH);
        const addresses = ports.map(port => `127.0.0.1:${port}`);
        if (withProxies) {
            const callers = [...Array(count).keys()].map(at => addresses[at * PORTS_EACH] ?? "");
            fleet.storeProxies.push(...await startProxies(callers.map(() => store), passesResets));
            fleet.callerProxies.push(...await startProxies(callers, passesResets));
        }
        const storeFor: (string | undefined)[] = fleet.storeProxies.map(({ address }) =>
            `${address.host}:${address.port}`
        );
        for (let at = 0; at < (opts.cuttable ?? 0); at++) {
            await fleet.startLinks(at, storeFor);
        }
        if (opts.withPeerLinks === true) {
            const linked = [...Array(count).keys()].map(at => ({
                name: getName(at),
                addresses: PEER_PORTS.map(port => toAddress(addresses[at * PORTS_EACH + port] ?? "")),
            }));
            fleet.peerLinks = await PeerLinks.start(linked, passesResets);
        }
        const folder = await mkdtemp(join(tmpdir(), "ospreyreel-platform-"));
        const seeds = [...Array(count).keys()].map(at => addresses[at * PORTS_EACH + 3] ?? "");
        for (const at of Array(count).keys()) {
            const own = addresses.slice(at * PORTS_EACH, (at + 1) * PORTS_EACH);
            const kv = { address: storeFor[at] ?? store, ...getMaxCopyAge(opts.maxCopyAgeS) };
            const varying = { ...opts.settings, seeds: seeds.slice(0, MAX_SEEDS), kv, addressTtlS, stopWithinS };
            fleet.instances.push(await fleet.createInstance(folder, at, own, varying));
        }
        try {
            await Promise.all(fleet.instances.map(instance => instance.process.awaitReady(READY_TIMEOUT_MS)));
        }
        catch (err) {
            await fleet.close();
            throw err;
        }
        return fleet;
    }

    /** The first target of the plain service. */
    get plain(): PlatformTargetStandIn | undefined {
        return this.plains[0];
    }

    /** All targets, the plain ones first. */
    get targets(): readonly PlatformTargetStandIn[] {
        return [...this.plains, ...this.models];
    }

    /** Requests that the targets ran. */
    get ran(): readonly RunRequest[] {
        return this.targets.flatMap(target => target.ran);
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
    apply(version: number, prepaid: number, opts: Omit<PlatformDocumentOptions, "version" | "prepaid"> = {}): void {
        this.document = createDocument({ version, prepaid, ...opts });
        this.store.put("op/config", this.document);
    }

    /** Writes the desired state and the targets' entries again, as operators and targets do after a restore. */
    writeAgain(): void {
        this.store.put("op/config", this.document);
        this.targets.forEach((_, at) => this.announce(at));
    }

    /** Has a model target say that it leaves. */
    announceLeaving(model: number): void {
        this.announce(this.plains.length + model, "draining");
    }

    /** Removes the entry of a model target, which goes on. */
    removeEntry(model: number): void {
        this.store.remove(this.models[model]?.getEntry()[0] ?? "");
    }

    /** Removes the entry of a model target for good; the target goes on serving. */
    removeTarget(model: number): void {
        this.removed.add(this.models[model]?.id ?? "");
        this.removeEntry(model);
    }

    /** Crashes a model target and starts it again at another address; its version and its id stay by default. */
    async rebirth(
        model: number,
        { version, id }: { readonly version?: string; readonly id?: string; } = {},
    ): Promise<void> {
        await this.changeTarget(async () => {
            const target = this.models[model];
            await (this.passesResets ? this.endTarget(model) : target?.close());
            if (target !== undefined && version !== undefined) {
                target.version = version;
            }
            if (target !== undefined && id !== undefined && id !== target.id) {
                this.removeEntry(model);
                this.targetLinks.forEach(links => links.rename(target.id, id));
                target.rename(id);
            }
            await this.startTarget(this.plains.length + model);
        });
    }

    /** Kills a model target: its connections end in order, and new ones are refused until {@link rebirth}. Its entry stays. */
    async killTarget(model: number): Promise<void> {
        await this.changeTarget(() => this.endTarget(model));
    }

    private async endTarget(model: number): Promise<void> {
        const target = this.models[model];
        await Promise.all([
            this.targetProxies[this.plains.length + model]?.setTargetDown(true),
            ...this.targetLinks.map(links => links.setTargetDown(target?.id ?? "")),
            target?.close(),
        ]);
    }

    private async changeTarget(change: () => Promise<void>): Promise<void> {
        this.targetChanges = this.targetChanges.then(change);
        await this.targetChanges;
    }

    private announce(at: number, state: "ready" | "draining" = "ready"): void {
        const target = this.targets[at];
        if (target !== undefined && !this.removed.has(target.id)) {
            this.store.put(...target.getEntry(state, this.targetProxies[at]?.address));
        }
    }

    private async startLinks(at: number, storeFor: (string | undefined)[]): Promise<void> {
        const addresses = new Map(this.targets.map(target => [target.id, target.address]));
        const links = await InstanceLinks.start(addresses, this.passesResets);
        this.targetLinks.push(links);
        const view = await this.store.openView((key, value) => links.rewrite(key, value));
        this.storeProxies[at]?.redirect(toAddress(view));
        storeFor[at] ??= view;
    }

    private async startTarget(at: number): Promise<void> {
        const target = this.targets[at];
        if (target === undefined) {
            return;
        }
        await target.start();
        if (this.withProxies) {
            await this.targetProxies[at]?.close();
            this.targetProxies[at] = await startFaultProxy({ target: target.address, passesResets: this.passesResets });
        }
        this.announce(at);
    }

    /** Sends a caller's request to an instance; status 0 where the connection broke. */
    async call(
        instance: PlatformInstance,
        path: string,
        headers: Record<string, string> = {},
        body = "question",
    ): Promise<CallerAnswer> {
        const id = this.nextId();
        try {
            const res = await request(`http://${instance.callers}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                body,
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
        body?: string,
    ): Promise<CallerAnswer> {
        return await this.call(instance, "/model/x", { ...headers, ...getModelHeaders(promptTokens) }, body);
    }

    /** Headers of a request to a model with a prompt of so many tokens, with a new id. */
    createHeaders(promptTokens: number): Record<string, string> {
        return { ...CALLER_HEADERS, "attempt-id": this.nextId(), ...getModelHeaders(promptTokens) };
    }

    /** Addresses that an instance tells callers; empty where it tells none. */
    async resolve(instance: PlatformInstance): Promise<readonly string[]> {
        return (await this.resolveWithTtl(instance))?.addresses ?? [];
    }

    /** Addresses that an instance tells callers with their time to live; undefined where it tells none. */
    async resolveWithTtl(instance: PlatformInstance): Promise<AddressAnswer | undefined> {
        const url = `http://${instance.directory}/ospreyreel/resolve?name=users.example&region=r&zone=z`;
        try {
            const signal = AbortSignal.timeout(DIRECTORY_TIMEOUT_MS);
            const res = await request(url, { dispatcher: this.agent, signal });
            const body = await res.body.text();
            return res.statusCode === 200 ? JSON.parse(body) as AddressAnswer : undefined;
        }
        catch {
            return undefined;
        }
    }

    /** The proxy before an address of an instance, where there is one. */
    getCallerProxy(callers: string): FaultProxy | undefined {
        return this.callerProxies[this.instances.findIndex(instance => instance.callers === callers)];
    }

    /** Writes the settings file of an instance again, with other peers. */
    async changeSettings(instance: PlatformInstance): Promise<void> {
        const seeds = this.instances.slice(-MAX_SEEDS).map(({ peer }) => peer);
        await writeFile(instance.settingsFile, JSON.stringify({ ...instance.settings, seeds }));
    }

    /** Starts an instance again with the same settings. */
    async restart(instance: PlatformInstance): Promise<void> {
        await this.spawn(instance).awaitReady(READY_TIMEOUT_MS);
    }

    /** Starts an instance again and does not wait until it is ready. */
    spawn(instance: PlatformInstance): RigProcess {
        instance.process = this.startProcess(instance.name, instance.settingsFile);
        return instance.process;
    }

    /** Ends everything that was started. */
    async close(): Promise<void> {
        this.instances.forEach(instance => instance.process.kill("SIGKILL"));
        await Promise.all(this.instances.map(instance => instance.process.exited));
        await this.agent.destroy();
        const proxies = [...this.storeProxies, ...this.callerProxies, ...this.targetProxies];
        await Promise.all([...this.targets, this.store, ...proxies, ...this.targetLinks].map(part => part.close()));
        await this.peerLinks?.close();
    }

    private startProcess(name: string, settingsFile: string): RigProcess {
        this.starts += 1;
        const redirects = this.peerLinks?.getRedirects(name);
        const { nodeArgs = [], maxDescriptors } = this.process;
        const modules = [...(redirects === undefined ? [] : [REDIRECT]), ...this.modules];
        return new RigProcess({
            script: this.starts % 2 === 0 ? OTHER_BUILD : MAIN,
            nodeArgs: [...nodeArgs, ...modules.flatMap(it => ["--import", it])],
            ...(maxDescriptors === undefined ? {} : { maxDescriptors }),
            env: {
                OSPREYREEL_SETTINGS: settingsFile,
                ...(this.onLine === undefined ? {} : { ROARR_LOG: "true" }),
                ...(redirects === undefined ? {} : { [REDIRECTS_VARIABLE]: JSON.stringify(redirects) }),
            },
            onLine: line => this.onLine?.(name, line),
        });
    }

    private async createInstance(
        folder: string,
        at: number,
        [callers = "", readiness = "", directory = "", peer = "", metrics = "", handoff = ""]: readonly string[],
        varying: RelaySettingsJson,
    ): Promise<PlatformInstance> {
        const name = getName(at);
        const settings: RelaySettingsJson = {
            instance: name,
            availabilityZone: `zone-${at}`,
            region: "region-1",
            callers,
            readiness,
            directory,
            peer,
            metrics,
            handoff,
            sharedKey: "platform-fleet",
            retries: { ratio: 0.2, windowS: 10, slack: 50 },
            ...varying,
        };
        const settingsFile = join(folder, `${name}.jsonc`);
        await writeFile(settingsFile, `// ${name}\n${JSON.stringify(settings)}`);
        const process = this.startProcess(name, settingsFile);
        return { name, settingsFile, callers, readiness, directory, peer, metrics, settings, process };
    }
}

const getName = (at: number): string => `instance-${at}`;

const getVersion = (version: string | undefined): Pick<PlatformTargetOptions, "version"> =>
    version === undefined ? {} : { version };

const getZone = (zone: string | undefined): Pick<PlatformTargetOptions, "zone"> => zone === undefined ? {} : { zone };

/** Parses HOST:PORT. */
export const toAddress = (text: string): Address => {
    const [host = "", port = ""] = text.split(":");
    return { host, port: Number(port) };
};

/** Starts a proxy before each of the addresses. */
const startProxies = async (addresses: readonly string[], passesResets: boolean): Promise<readonly FaultProxy[]> =>
    await Promise.all(addresses.map(address => startFaultProxy({ target: toAddress(address), passesResets })));

const getMaxCopyAge = (maxCopyAgeS: number | undefined): { readonly maxCopyAgeS?: number; } =>
    maxCopyAgeS === undefined ? {} : { maxCopyAgeS };
