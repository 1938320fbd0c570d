import type { FaultProxy, PlatformTargetStandIn, ProxyFaults } from "@ospreyreel/stand-ins";
import { setTimeout as sleep } from "node:timers/promises";
import { loadInstance } from "../handoff-load.js";
import type { LinkCut } from "../instance-links.js";
import type { PlatformFleet, PlatformInstance } from "../platform-fleet.js";
import { type FaultTimeline, STORE_PART } from "./fault-timeline.js";
import type { HandoffLog } from "./handoff-log.js";
import type { HelperFault, PlatformFault, PlatformScheduleEntry, StopKind } from "./platform-schedule.js";

/** Signal that follows a SIGTERM. */
const NEXT_SIGNAL: Readonly<Record<StopKind, NodeJS.Signals | undefined>> = {
    stop: undefined,
    stopTwice: "SIGTERM",
    stopThenReload: "SIGHUP",
    freezeInStop: "SIGSTOP",
    killInStop: "SIGKILL",
};

/** Time after which a process that does not end after SIGTERM is killed, in milliseconds. */
const STOP_TIMEOUT_MS = 15_000;

const READY_TIMEOUT_MS = 30_000;

/** Time for which the store is away before it comes back from an older copy, in milliseconds. */
const RESTORE_MS = 300;

/** Time-outs of the model routes in turn, in milliseconds. */
const MODEL_TIMEOUTS_MS = [12_000, 5_000, 12_000, 3_000] as const;

/** Shortest time for which a target names a limit, in milliseconds; the limit must hold after three seconds, for four. */
const MIN_LIMIT_MS = 8_000;

/** Time after an overload in which its last requests end, in milliseconds. */
const OVERLOAD_ENDS_WITHIN_MS = 5_000;

/** Shortest time for which instances are cut off, in milliseconds; their callers must be served as well as others after three seconds. */
const MIN_CUT_OFF_MS = 6_000;

/** Faults that signals to processes bring about. */
type ProcessFault = Extract<
    PlatformFault,
    {
        readonly kind:
            | "kill"
            | "killAll"
            | "freeze"
            | StopKind
            | "rollingStop"
            | "stopInStart"
            | "reload"
            | "helperFault";
    }
>;

/** Faults of targets that change without an announcement. */
type TargetChange = Extract<PlatformFault, { readonly kind: "targetReplaced" | "targetRemoved" | "targetKilled"; }>;

/** Faults of entries and answers that belong to nothing. */
type StrayFault = Extract<PlatformFault, { readonly kind: "oddEntry" | "strayRefusals" | "resumeErrors"; }>;

/** Version that is written first; the fleet is started with an earlier one. */
const FIRST_WRITTEN = 2;

/** Options of a {@link PlatformScheduleRun}. */
export interface ScheduleRunOptions {
    readonly fleet: PlatformFleet;
    readonly timeline: FaultTimeline;
    readonly handoffs: HandoffLog;
    readonly prepaid: number;
}

/** What comes with a SIGTERM. */
interface StopOptions {
    readonly next?: NodeJS.Signals | undefined;
    /** Time until the next signal, in milliseconds. */
    readonly gapMs?: number;
    /** Time for which a process is frozen, in milliseconds. */
    readonly ms?: number;
    readonly isStarting?: boolean;
}

/** Brings the faults of a schedule about; all are over when {@link run} resolves. */
export class PlatformScheduleRun {
    private readonly fleet: PlatformFleet;
    private readonly timeline: FaultTimeline;
    private readonly handoffs: HandoffLog;
    /** Instances that a fault has ended or told to stop. */
    private readonly away = new Set<PlatformInstance>();
    private version = 1;
    private oddEntries = 0;
    private targetChanges = 0;
    private prepaidTokens: number;

    constructor({ fleet, timeline, handoffs, prepaid }: ScheduleRunOptions) {
        this.fleet = fleet;
        this.timeline = timeline;
        this.handoffs = handoffs;
        this.prepaidTokens = prepaid;
    }

    /** Tokens prepaid in the last desired state. */
    get prepaid(): number {
        return this.prepaidTokens;
    }

    /** Writes the next desired state; odd versions lack a route. */
    writeDocument(tokens = 0): void {
        this.version += 1;
        this.prepaidTokens += tokens;
        const modelTimeoutMs = MODEL_TIMEOUTS_MS[(this.version - FIRST_WRITTEN) % MODEL_TIMEOUTS_MS.length]
            ?? MODEL_TIMEOUTS_MS[0];
        const hasNewRoute = this.version % 2 === 0;
        this.timeline.addVersion({ modelTimeoutMs, hasNewRoute });
        this.fleet.apply(this.version, this.prepaidTokens, { modelTimeoutMs, hasNewRoute });
    }

    /** Runs all entries side by side, then ends what overlapping entries left. */
    async run(schedule: readonly PlatformScheduleEntry[]): Promise<void> {
        await Promise.all(schedule.map(async ({ startMs, durationMs, fault }) => {
            await sleep(startMs);
            await this.hold(fault, durationMs);
        }));
        const { fleet } = this;
        fleet.store.endFaults();
        const proxies = [...fleet.storeProxies, ...fleet.callerProxies, ...fleet.targetProxies];
        await Promise.all(proxies.map(proxy => proxy.setFaults({ mode: "pass", delayMs: 0 })));
        fleet.instances.forEach(instance => instance.process.kill("SIGCONT"));
    }

    private async limit(target: number, perS: number, ms: number): Promise<void> {
        const model = this.fleet.models[target];
        if (model === undefined || model.limitPerS !== undefined) {
            return;
        }
        const end = this.timeline.limit(model.id, perS);
        model.limitPerS = perS;
        await sleep(ms + MIN_LIMIT_MS);
        end();
        model.limitPerS = undefined;
    }

    private async cutOff(indexes: readonly number[], how: LinkCut, ms: number): Promise<void> {
        const { fleet, timeline } = this;
        const cut = indexes.filter(at => fleet.targetLinks[at]?.isCut === false);
        const names = this.getInstances(cut).map(({ name }) => name);
        const links = pick(fleet.targetLinks, cut);
        const end = timeline.cutOff(names);
        await Promise.all(links.map(link => link.cut(how)));
        await sleep(ms + MIN_CUT_OFF_MS);
        await Promise.all(links.map(link => link.restore()));
        end();
    }

    private async hold(fault: PlatformFault, ms: number): Promise<void> {
        const { fleet } = this;
        switch (fault.kind) {
            case "kill":
                return await this.restartAfter([fault.instance], ms, instance => this.kill(instance));
            case "killAll":
                return await this.restartAfter([...fleet.instances.keys()], ms, instance => this.kill(instance));
            case "freeze":
                return await this.freeze(this.getInstances([fault.instance]), ms);
            case "stop":
            case "stopTwice":
            case "stopThenReload":
            case "freezeInStop":
            case "killInStop":
                return await this.restartAfter(
                    [fault.instance],
                    ms,
                    instance => this.stop(instance, { next: NEXT_SIGNAL[fault.kind], gapMs: fault.gapMs, ms }),
                );
            case "rollingStop":
                await Promise.all(fault.instances.map(async (at, order) => {
                    await sleep(order * fault.gapMs);
                    await this.restartAfter([at], ms, instance => this.stop(instance));
                }));
                return;
            case "stopInStart":
                return await this.restartAfter([fault.instance], ms, async instance => {
                    await this.kill(instance);
                    await this.stopInStart(instance, fault.gapMs);
                });
            case "reload":
                await Promise.all(
                    this.getInstances([fault.instance]).map(async instance => {
                        await fleet.changeSettings(instance);
                        // A process that starts reads the settings anyway, and a signal may come before it can handle one.
                        if (!this.away.has(instance)) {
                            instance.process.kill("SIGHUP");
                        }
                    }),
                );
                return;
            case "helperFault":
                return await this.disturbHelper(fault.instance, fault.how, fault.gapMs, ms);
            default:
                return await this.holdAround(fault, ms);
        }
    }

    /** Faults of links, store, targets and desired states. */
    private async holdAround(fault: Exclude<PlatformFault, ProcessFault>, ms: number): Promise<void> {
        const { fleet, timeline } = this;
        const { faults, items } = fleet.store;
        switch (fault.kind) {
            case "cutStore":
            case "slowStore":
                return await this.disturbLinks([STORE_PART], pick(fleet.storeProxies, fault.instances), fault, ms);
            case "cutCallers":
            case "slowCallers":
                return await this.disturbLinks(
                    this.getInstances([fault.instance]).map(({ name }) => name),
                    pick(fleet.callerProxies, [fault.instance]),
                    fault,
                    ms,
                );
            case "cutTarget":
            case "slowTarget":
                return await this.disturbLinks(
                    pick(fleet.targets, [fault.target]).map(({ id }) => id),
                    pick(fleet.targetProxies, [fault.target]),
                    fault,
                    ms,
                );
            case "storeSilent":
                return await this.disturbStore(ms, on => faults.silent = on);
            case "storeBusy":
                return await this.disturbStore(ms, on => faults.busy = on);
            case "storeLosesReplies":
                return await this.disturbStore(ms, on => faults.losesReplies = on);
            case "storeLate":
                return await this.disturbStore(ms, on => faults.lateMs = on ? fault.lateMs : 0);
            case "storeForgets":
                return await this.disturbStore(0, () => items.forget());
            case "storeOlderCopy": {
                const copy = items.copy();
                await sleep(ms);
                await this.disturbStore(RESTORE_MS, on => {
                    if (on) {
                        fleet.store.cutConnections();
                        fleet.store.restore(copy);
                        this.writeDocument();
                        fleet.writeAgain();
                    }
                    faults.busy = on;
                });
                return;
            }
            case "targetLeaves": {
                const end = timeline.leave(fleet.models[fault.target]?.id ?? "");
                fleet.announceLeaving(fault.target);
                await sleep(ms);
                await this.rebirth(fault.target);
                return end();
            }
            case "targetReborn":
                return await this.rebirth(fault.target);
            case "overload":
                return await this.overload(this.getInstances([fault.instance]), ms);
            case "targetReplaced":
            case "targetRemoved":
            case "targetKilled":
                return await this.changeTarget(fault, ms);
            case "cutOff":
                return await this.cutOff(fault.instances, fault.how, ms);
            case "targetLimit":
                return await this.limit(fault.target, fault.perS, ms);
            case "oddEntry":
            case "strayRefusals":
            case "resumeErrors":
                return await this.holdStray(fault, ms);
            case "topUp":
                return this.writeDocument(fault.tokens);
            case "documents":
                for (let at = 0; at < fault.count; at++) {
                    this.writeDocument();
                    await sleep(fault.gapMs);
                }
                return;
        }
    }

    private async overload(instances: readonly PlatformInstance[], ms: number): Promise<void> {
        const ends = instances.map(instance => loadInstance(instance));
        await sleep(ms);
        // What an instance that is paused has accepted ends later.
        await Promise.race([Promise.all(ends.map(end => end())), sleep(OVERLOAD_ENDS_WITHIN_MS)]);
    }

    /** Disturbs the peer that serves callers of an instance, or the next instance where none does. */
    private async disturbHelper(index: number, how: HelperFault, gapMs: number, ms: number): Promise<void> {
        const { fleet } = this;
        const [served] = this.getInstances([index]);
        const name = this.handoffs.getHelper(served?.name ?? "");
        const found = fleet.instances.findIndex(instance => instance.name === name);
        const helper = found < 0 ? (index + 1) % fleet.instances.length : found;
        const instances = this.getInstances([helper]);
        switch (how) {
            case "kill":
                return await this.restartAfter([helper], ms, instance => this.kill(instance));
            case "freeze":
                return await this.freeze(instances, ms);
            case "stop":
                return await this.restartAfter([helper], ms, instance => this.stop(instance));
            case "killInStop":
                return await this.restartAfter(
                    [helper],
                    ms,
                    instance => this.stop(instance, { next: "SIGKILL", gapMs, ms }),
                );
            case "cutLink":
                await Promise.all(instances.map(({ name: other }) => this.cutLink(served?.name ?? "", other, ms)));
        }
    }

    private async cutLink(first: string, second: string, ms: number): Promise<void> {
        const { peerLinks } = this.fleet;
        const end = this.timeline.part([first, second]);
        if (await peerLinks?.cut(first, second) === true) {
            await sleep(ms);
            await peerLinks?.restore(first, second);
        }
        end();
    }

    private async changeTarget(fault: TargetChange, ms: number): Promise<void> {
        const { fleet, timeline } = this;
        const { kind, target } = fault;
        const [{ id } = { id: "" }] = pick(fleet.models, [target]);
        this.targetChanges += 1;
        const newId = kind === "targetKilled" && fault.hasNewId ? `${id}-${this.targetChanges}` : id;
        const end = timeline.disturb([id, newId]);
        if (kind === "targetRemoved") {
            fleet.removeEntry(target);
            await sleep(ms);
        }
        if (kind === "targetKilled") {
            await fleet.killTarget(target);
            await sleep(ms);
        }
        await fleet.rebirth(target, {
            ...(kind === "targetKilled" ? {} : { version: fault.version }),
            ...(newId === id ? {} : { id: newId }),
        });
        end();
    }

    /** Entries and answers that belong to nothing. */
    private async holdStray(fault: StrayFault, ms: number): Promise<void> {
        const { fleet } = this;
        switch (fault.kind) {
            case "oddEntry": {
                this.oddEntries += 1;
                fleet.store.putBytes(`servers/odd-${this.oddEntries}`, Buffer.from(fault.value));
                return;
            }
            case "strayRefusals":
                return await this.disturbTarget(pick(fleet.targets, [fault.target]), ms, (target, on) => {
                    target.strayRefusal = on ? { status: 503 } : undefined;
                });
            case "resumeErrors":
                return await this.disturbTarget(pick(fleet.models, [fault.target]), ms, (target, on) => {
                    target.resumeStatus = on ? fault.status : undefined;
                });
        }
    }

    private getInstances(indexes: readonly number[]): readonly PlatformInstance[] {
        return pick(this.fleet.instances, indexes);
    }

    /** Ends processes that no other fault has ended, and starts each again after the time. */
    private async restartAfter(
        indexes: readonly number[],
        ms: number,
        end: (instance: PlatformInstance) => Promise<void>,
    ): Promise<void> {
        const taken = this.getInstances(indexes).filter(instance => !this.away.has(instance));
        taken.forEach(instance => this.away.add(instance));
        await Promise.all(taken.map(async instance => {
            const endAbsence = this.timeline.beginAbsence(instance.name);
            await end(instance);
            await sleep(ms);
            await this.fleet.restart(instance);
            this.away.delete(instance);
            endAbsence();
        }));
    }

    private async kill(instance: PlatformInstance): Promise<void> {
        const end = this.timeline.disturb([instance.name]);
        this.timeline.kill(instance.name);
        instance.process.kill("SIGKILL");
        await instance.process.exited;
        end();
    }

    private async freeze(instances: readonly PlatformInstance[], ms: number): Promise<void> {
        const end = this.timeline.disturb(instances.map(({ name }) => name));
        instances.forEach(instance => instance.process.kill("SIGSTOP"));
        await sleep(ms);
        instances.forEach(instance => instance.process.kill("SIGCONT"));
        end();
    }

    private async stop(
        instance: PlatformInstance,
        { next, gapMs = 0, ms = 0, isStarting = false }: StopOptions = {},
    ): Promise<void> {
        const { process, name } = instance;
        const termAtMs = performance.now();
        process.kill("SIGTERM");
        const timer = setTimeout(() => process.kill("SIGKILL"), STOP_TIMEOUT_MS);
        if (next !== undefined) {
            await Promise.race([sleep(gapMs), process.exited]);
            await (next === "SIGSTOP" ? this.freeze([instance], ms) : undefined);
            await (next === "SIGKILL" ? this.kill(instance) : undefined);
            process.kill(next === "SIGSTOP" ? "SIGCONT" : next);
        }
        const { code } = await process.exited;
        clearTimeout(timer);
        const endedAtMs = performance.now();
        this.timeline.stops.push({ instance: name, termAtMs, endedAtMs, code, wasStarting: isStarting });
    }

    /** A process that has not yet set its handlers ends by the signal; one that has ends in time. */
    private async stopInStart(instance: PlatformInstance, gapMs: number): Promise<void> {
        const process = this.fleet.spawn(instance);
        const ready = process.awaitReady(READY_TIMEOUT_MS).catch(() => undefined);
        await sleep(gapMs);
        await this.stop(instance, { isStarting: true });
        await ready;
    }

    private async rebirth(model: number): Promise<void> {
        const end = this.timeline.disturb(pick(this.fleet.models, [model]).map(({ id }) => id));
        await this.fleet.rebirth(model);
        end();
    }

    private async disturbTarget(
        targets: readonly PlatformTargetStandIn[],
        ms: number,
        set: (target: PlatformTargetStandIn, on: boolean) => void,
    ): Promise<void> {
        const end = this.timeline.disturb(targets.map(({ id }) => id));
        targets.forEach(target => set(target, true));
        await sleep(ms);
        targets.forEach(target => set(target, false));
        end();
    }

    private async disturbStore(ms: number, set: (on: boolean) => void): Promise<void> {
        const end = this.timeline.disturb([STORE_PART]);
        set(true);
        await sleep(ms);
        set(false);
        end();
    }

    private async disturbLinks(
        parts: readonly string[],
        proxies: readonly FaultProxy[],
        { mode = "pass", delayMs = 0 }: Partial<ProxyFaults>,
        ms: number,
    ): Promise<void> {
        const end = this.timeline.disturb(parts);
        await Promise.all(proxies.map(proxy => proxy.setFaults({ mode, delayMs })));
        await sleep(ms);
        await Promise.all(proxies.map(proxy => proxy.setFaults({ mode: "pass", delayMs: 0 })));
        end();
    }
}

const pick = <T>(items: readonly T[], indexes: readonly number[]): readonly T[] =>
    items.filter((_, index) => indexes.includes(index));
