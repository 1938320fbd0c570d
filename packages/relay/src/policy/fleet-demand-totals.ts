import type { DemandReport } from "@ospreyreel/types";
import { divideMaxMin } from "./max-min-shares.js";

interface InstanceDemand {
    readonly teams: Readonly<Record<string, number>>;
    readonly startedPerS: number;
    readonly atMs: number;
}

/** Time after which an instance's report counts no more, in milliseconds: three reports. */
const REPORT_TTL_MS = 3_000;

/** Interval at which old reports are removed, in milliseconds. */
const SWEEP_MS = 1_000;

/**
 * Capacity relative to the requests that started. Above one, so that the shares of teams grow again where the service serves more;
 * what is admitted beyond its capacity waits and is refused by its own estimate.
 */
const CAPACITY_FACTOR = 1.1;

/** Relative share from which a team is not limited; smaller differences are those of a measurement over a second or two. */
const MAX_SHARE = 0.9;

/** Adds up what the teams ask of one service that is short of room, by the reports of instances, and divides what it serves. */
export class FleetDemandTotals {
    private readonly instances = new Map<string, InstanceDemand>();
    private readonly teams = new Map<string, number>();
    private startedPerS = 0;
    private sweptAtMs = Number.NEGATIVE_INFINITY;

    /** Takes over an instance's report; `nowMs` is monotonic. */
    receive({ teams, startedPerS }: DemandReport, instance: string, nowMs: number): void {
        const previous = this.instances.get(instance);
        if (previous !== undefined) {
            this.add(previous, -1);
        }
        const demand = { teams, startedPerS, atMs: nowMs };
        this.instances.set(instance, demand);
        this.add(demand, 1);
        if (nowMs - this.sweptAtMs >= SWEEP_MS) {
            this.sweep(nowMs);
        }
    }

    /**
     * Shares of the requests of teams that get less than others, relative to the team that gets most, 0 to 1; other teams are not
     * limited. Where all teams get the same share, order and refusals are left to urgency and time.
     */
    getShares(): Readonly<Record<string, number>> {
        const demand = new Map([...this.teams].filter(([, perS]) => perS > 0));
        const parts = divideMaxMin(demand, this.startedPerS * CAPACITY_FACTOR);
        const shares = [...demand].map(([team, perS]) => [team, (parts.get(team) ?? 0) / perS] as const);
        const most = Math.max(...shares.map(([, share]) => share));
        return Object.fromEntries(
            shares.map(([team, share]) => [team, share / most] as const).filter(([, share]) => share < MAX_SHARE),
        );
    }

    /** Adds everything up anew; sums and differences alone would add up their rounding errors. */
    private sweep(nowMs: number): void {
        this.sweptAtMs = nowMs;
        this.teams.clear();
        this.startedPerS = 0;
        for (const [instance, demand] of this.instances) {
            if (nowMs - demand.atMs > REPORT_TTL_MS) {
                this.instances.delete(instance);
            }
            else {
                this.add(demand, 1);
            }
        }
    }

    private add({ teams, startedPerS }: InstanceDemand, sign: 1 | -1): void {
        this.startedPerS += sign * startedPerS;
        for (const [team, perS] of Object.entries(teams)) {
            this.teams.set(team, (this.teams.get(team) ?? 0) + sign * perS);
        }
    }
}
