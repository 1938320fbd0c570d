import type { ProxyFaults } from "@ospreyreel/stand-ins";
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformFleet } from "../platform-fleet.js";
import type { PlatformFault, PlatformScheduleEntry } from "./platform-schedule.js";

/** Brings the faults of a schedule about; all are over when {@link run} resolves. */
export class PlatformScheduleRun {
    /** Exit codes of processes that were told to stop. */
    readonly exitCodes: (number | undefined)[] = [];
    private readonly away = new Set<number>();
    private version = 1;

    constructor(private readonly fleet: PlatformFleet, private prepaidTokens: number) {}

    /** Tokens prepaid in the last desired state. */
    get prepaid(): number {
        return this.prepaidTokens;
    }

    /** Runs all entries side by side, then ends what overlapping entries left. */
    async run(schedule: readonly PlatformScheduleEntry[]): Promise<void> {
        await Promise.all(schedule.map(async ({ startMs, durationMs, fault }) => {
            await sleep(startMs);
            await this.hold(fault, durationMs);
        }));
        const { fleet } = this;
        fleet.store.endFaults();
        await Promise.all(fleet.storeProxies.map(proxy => proxy.setFaults({ mode: "pass", delayMs: 0 })));
        fleet.instances.forEach(instance => instance.process.kill("SIGCONT"));
    }

    private async hold(fault: PlatformFault, durationMs: number): Promise<void> {
        const { fleet } = this;
        const { faults } = fleet.store;
        switch (fault.kind) {
            case "kill":
            case "stop":
                return await this.restartAfter(
                    [fault.instance],
                    fault.kind === "kill" ? "SIGKILL" : "SIGTERM",
                    durationMs,
                );
            case "killAll":
                return await this.restartAfter([...fleet.instances.keys()], "SIGKILL", durationMs);
            case "freeze":
                fleet.instances[fault.instance]?.process.kill("SIGSTOP");
                await sleep(durationMs);
                fleet.instances[fault.instance]?.process.kill("SIGCONT");
                return;
            case "reload":
                fleet.instances[fault.instance]?.process.kill("SIGHUP");
                return;
            case "cutStore":
                return await this.throughProxies(fault.instances, { mode: fault.mode }, { mode: "pass" }, durationMs);
            case "slowStore":
                return await this.throughProxies(
                    fault.instances,
                    { delayMs: fault.delayMs },
                    { delayMs: 0 },
                    durationMs,
                );
            case "storeSilent":
                return await holdFor(durationMs, on => faults.silent = on);
            case "storeBusy":
                return await holdFor(durationMs, on => faults.busy = on);
            case "storeLosesReplies":
                return await holdFor(durationMs, on => faults.losesReplies = on);
            case "storeLate":
                return await holdFor(durationMs, on => faults.lateMs = on ? fault.lateMs : 0);
            case "storeForgets":
                return fleet.store.items.forget();
            case "targetLeaves":
                return await this.leaveAndRestart(fault.target, durationMs);
            case "targetReborn":
                return await fleet.rebirth(fault.target);
            case "topUp":
                this.version += 1;
                this.prepaidTokens += fault.tokens;
                return fleet.apply(this.version, this.prepaidTokens);
        }
    }

    /** Ends processes that no other fault has ended, and starts each again after the time. */
    private async restartAfter(indexes: readonly number[], signal: NodeJS.Signals, ms: number): Promise<void> {
        const taken = indexes.filter(index => !this.away.has(index));
        taken.forEach(index => this.away.add(index));
        await Promise.all(taken.map(async index => {
            const instance = this.fleet.instances[index];
            if (instance === undefined) {
                return;
            }
            if (signal === "SIGTERM") {
                this.exitCodes.push((await instance.process.stop()).code);
            }
            else {
                instance.process.kill(signal);
            }
            await sleep(ms);
            await this.fleet.restart(instance);
            this.away.delete(index);
        }));
    }

    private async throughProxies(
        indexes: readonly number[],
        begun: Partial<ProxyFaults>,
        ended: Partial<ProxyFaults>,
        ms: number,
    ): Promise<void> {
        const proxies = this.fleet.storeProxies.filter((_, index) => indexes.includes(index));
        await Promise.all(proxies.map(proxy => proxy.setFaults(begun)));
        await sleep(ms);
        await Promise.all(proxies.map(proxy => proxy.setFaults(ended)));
    }

    /** A target that said that it leaves ends; only another start of it takes requests again. */
    private async leaveAndRestart(target: number, ms: number): Promise<void> {
        this.fleet.announceLeaving(target);
        await sleep(ms);
        await this.fleet.rebirth(target);
    }
}

const holdFor = async (ms: number, set: (on: boolean) => void): Promise<void> => {
    set(true);
    await sleep(ms);
    set(false);
};
