import type { PeerHub } from "@ospreyreel/peer";
import type { SetTimer } from "@ospreyreel/targets";
import type { DemandReport, DemandShares } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import { DemandRates } from "../policy/demand-rates.js";
import { FleetDemandTotals } from "../policy/fleet-demand-totals.js";
import type { RelayLog } from "../relay-log.js";
import { TeamDemand } from "./team-demand.js";

/** Options of {@link FleetTeamDemand}. */
export interface FleetTeamDemandOptions {
    readonly hub: Pick<PeerHub, "handle" | "peers" | "request" | "self">;
    /** Share of the fleet that is in contact with this instance, itself included; 0 to 1. */
    readonly getReachableShare: () => number;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** `setTimeout` by default. */
    readonly setTimer?: SetTimer;
}

/** What this instance knows of the demand for one service. */
interface ServiceDemand {
    readonly rates: DemandRates;
    shares: Readonly<Record<string, number>>;
    sharesUntilMs: number;
    /** Requests that each limited team may still send within its share. */
    readonly credits: Map<string, number>;
    reportedAtMs: number;
    shortAtMs: number;
    isScheduled: boolean;
}

/** Maximum number of services whose demand is kept. */
const MAX_SERVICES = 1_024;

/** Shortest time between two reports of one service, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Share of the fleet from which on demand is added up. */
const MIN_REACHABLE_SHARE = 0.5;

/** Time after which an answer no longer counts, in milliseconds, from the time of the report. */
const SHARES_TTL_MS = 3_000;

/** Most requests for which a team's share is kept. */
const MAX_CREDIT = 4;

const REPORT_TIMEOUT_MS = 500;

const setNodeTimer: SetTimer = (callback, ms) => {
    const timer = setTimeout(callback, ms).unref();
    return () => clearTimeout(timer);
};

/**
 * Shares scarce services among teams over all instances. Each instance that is short of room for a service reports its demand by
 * team once a second to the instance that is responsible for the service, and applies the shares in the response.
 */
export class FleetTeamDemand extends TeamDemand {
    private readonly services = new BoundedMap<ServiceDemand>(MAX_SERVICES);
    /** Services that this instance adds up for all. */
    private readonly totals = new BoundedMap<FleetDemandTotals>(MAX_SERVICES);
    private readonly responsible: ResponsibleInstances;

    constructor(private readonly opts: FleetTeamDemandOptions) {
        super();
        this.responsible = new ResponsibleInstances(opts);
    }

    /** Starts responding to other instances. */
    serve(): void {
        this.opts.hub.handle(
            "demand.report",
            (report, { incarnation }) => Promise.resolve(this.receive(report, incarnation)),
        );
    }

    override recordOffered(service: string, team: string): void {
        this.getDemand(service).rates.recordOffered(team, this.opts.nowMs());
    }

    override recordStarted(service: string): void {
        this.getDemand(service).rates.recordStarted(this.opts.nowMs());
    }

    override recordShort(service: string): void {
        const demand = this.getDemand(service);
        demand.shortAtMs = this.opts.nowMs();
        this.schedule(service, demand);
    }

    override acquire(service: string, team: string, priority: number): boolean {
        const share = this.getShares(service)[team];
        if (share === undefined) {
            return true;
        }
        const { credits } = this.getDemand(service);
        const credit = Math.min(MAX_CREDIT, (credits.get(team) ?? 0) + share);
        // A team's more urgent requests use its share first; the others get what these leave.
        const isWithin = credit >= (priority === 0 ? 1 : MAX_CREDIT - 1);
        credits.set(team, isWithin ? credit - 1 : credit);
        return isWithin;
    }

    override getShares(service: string): Readonly<Record<string, number>> {
        const demand = this.services.get(service);
        return demand === undefined || this.opts.nowMs() >= demand.sharesUntilMs ? {} : demand.shares;
    }

    private schedule(service: string, demand: ServiceDemand): void {
        if (demand.isScheduled) {
            return;
        }
        demand.isScheduled = true;
        const inMs = Math.max(0, demand.reportedAtMs + REPORT_INTERVAL_MS - this.opts.nowMs());
        (this.opts.setTimer ?? setNodeTimer)(() => {
            demand.isScheduled = false;
            // A small part of the fleet does not know how much of the service the others use.
            const isConnected = this.opts.getReachableShare() >= MIN_REACHABLE_SHARE;
            if (isConnected && this.opts.nowMs() - demand.shortAtMs <= REPORT_INTERVAL_MS) {
                void this.report(service, demand);
            }
        }, inMs);
    }

    /** Reports the demand for a service and takes over the shares. Does not throw. */
    private async report(service: string, demand: ServiceDemand): Promise<void> {
        const { hub, nowMs, log, count } = this.opts;
        const sentAtMs = nowMs();
        demand.reportedAtMs = sentAtMs;
        const report = { service, ...demand.rates.getRates(sentAtMs) };
        const [responsible] = this.responsible.choose(service, 1);
        try {
            const self = hub.self();
            const { shares } = responsible === undefined || responsible.instance === self.instance
                ? this.receive(report, self.incarnation)
                : await hub.request(responsible.incarnation, "demand.report", report, REPORT_TIMEOUT_MS);
            count("demand_reports");
            demand.shares = shares;
            // Counted from the report on, so that an answer that a pause delayed does not count for longer.
            demand.sharesUntilMs = sentAtMs + SHARES_TTL_MS;
            const limited = new Set(Object.keys(shares));
            [...demand.credits.keys()].filter(team => !limited.has(team)).forEach(team => demand.credits.delete(team));
            if (limited.size > 0) {
                const list = Object.entries(shares).map(([team, share]) => `${team}=${share.toFixed(2)}`).join(" ");
                log.write("team shares", { service, peer: responsible?.instance ?? "", shares: list });
            }
        }
        catch (err) {
            count("demand_reports_failed");
            log.write("demand not reported", { service, peer: responsible?.instance ?? "", cause: String(err) });
        }
    }

    private receive(report: DemandReport, incarnation: string): DemandShares {
        const known = this.totals.get(report.service) ?? new FleetDemandTotals();
        this.totals.set(report.service, known);
        known.receive(report, incarnation, this.opts.nowMs());
        return { shares: known.getShares() };
    }

    private getDemand(service: string): ServiceDemand {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const demand: ServiceDemand = {
            rates: new DemandRates(),
            shares: {},
            sharesUntilMs: Number.NEGATIVE_INFINITY,
            credits: new Map(),
            reportedAtMs: Number.NEGATIVE_INFINITY,
            shortAtMs: Number.NEGATIVE_INFINITY,
            isScheduled: false,
        };
        this.services.set(service, demand);
        return demand;
    }
}
