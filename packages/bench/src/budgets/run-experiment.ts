import { toOspreyError } from "@ospreyreel/errors";
import { EtcdKvClient } from "@ospreyreel/kv";
import type { Bill } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { toUrl } from "../rig/platform.js";
import { getScriptPath } from "../rig/redirects.js";
import { startProcess } from "../rig/rig-process.js";
import { BudgetOracle } from "./budget-oracle.js";
import type { ExperimentRow } from "./experiment-row.js";
import { LatencyRecorder } from "./latency-recorder.js";
import {
    closeLedgerFleet,
    createAddressBook,
    killInstance,
    type LedgerInstance,
    startLedgerFleet,
} from "./ledger-fleet.js";
import { readStranded } from "./read-stranded.js";
import type { Scenario } from "./scenario.js";
import { seedBudgets, type SeededBudget } from "./seed-budgets.js";
import { getBudgetName, getTeamShares, type Shape } from "./shape.js";
import type { Variant } from "./variant.js";
import { Workload, type WorkloadRequest } from "./workload.js";

/** One experiment. */
export interface ExperimentOptions {
    readonly shape: Shape;
    readonly variant: Variant;
    readonly scenario: Scenario;
    /** Length of the load. */
    readonly seconds: number;
    readonly seed: number;
}

const PREFIX = "/bench";
const MS_PER_S = 1_000;
const TICK_MS = 10;
/** Part of a budget that was spent before the run, as it would be late in a month. */
const SPENT_SHARE = 0.99;
const FAULT_BEGIN = 0.25;
const FAULT_END = 0.75;
const SETTLE_MS = 3_000;
const HOLDINGS_TIMEOUT_MS = 300;

const getBudgets = (opts: ExperimentOptions): readonly SeededBudget[] =>
    getTeamShares(opts.shape).map((share, index) => {
        const asked = share * opts.shape.requestsPerS * opts.seconds * Workload.meanUsed;
        const left = Math.ceil(asked * opts.scenario.remaining);
        const prepaid = Math.ceil(left / (1 - SPENT_SHARE));
        return { name: getBudgetName(index), prepaid, spent: prepaid - left };
    });

/** Load on a fleet of ledgers, judged by an oracle. */
class Experiment {
    readonly latencies = new LatencyRecorder();
    private readonly book;
    private readonly workload: Workload;
    private turn = 0;
    private nextId = 0;

    constructor(
        private readonly opts: ExperimentOptions,
        private readonly fleet: readonly LedgerInstance[],
        private readonly oracle: BudgetOracle,
    ) {
        this.book = createAddressBook({ ...opts, prefix: PREFIX }, () => fleet.map(({ info }) => info));
        this.workload = new Workload(opts.shape, opts.seed);
    }

    /** Sends requests at the shape's rate for the given time and waits for all of them. */
    async load(seconds: number): Promise<void> {
        const running = new Set<Promise<void>>();
        const startedMs = performance.now();
        let sent = 0;
        for (let elapsed = 0; elapsed < seconds; elapsed = (performance.now() - startedMs) / MS_PER_S) {
            for (; sent < elapsed * this.opts.shape.requestsPerS; sent++) {
                const task: Promise<void> = this.send(this.workload.next()).finally(() => running.delete(task));
                running.add(task);
            }
            await sleep(TICK_MS);
        }
        await Promise.all(running);
    }

    private async send(req: WorkloadRequest): Promise<void> {
        this.oracle.counts.requests += 1;
        const fitted = this.oracle.fits(req.budget, req.worstCase);
        const candidates = this.getCandidates(req.budget);
        // A caller that is refused as not run, or finds no one, goes to the next address.
        for (const instance of candidates.slice(0, 2)) {
            if (instance.alive && await this.tryAt(instance, req)) {
                return;
            }
        }
        this.oracle.refuse(req.budget, fitted && this.oracle.fits(req.budget, req.worstCase));
        const holder = this.fleet.some(other => other.alive && other.ledger.getAvailable(req.budget) >= req.worstCase);
        this.oracle.counts[holder ? "refusedGrantElsewhere" : "refusedNoGrant"] += 1;
    }

    private getCandidates(budget: string): readonly LedgerInstance[] {
        const ordered = this.book.order(budget, { turn: this.turn++ });
        return ordered.map(info => this.fleet.find(instance => instance.info === info)).filter(found =>
            found !== undefined
        );
    }

    private async tryAt(entry: LedgerInstance, req: WorkloadRequest): Promise<boolean> {
        const refusal = await this.serve(entry, req);
        if (refusal === undefined) {
            return true;
        }
        if (!this.opts.variant.forward) {
            return false;
        }
        const holder = await this.findHolder(entry, req, refusal);
        return holder !== undefined && await this.serve(holder, req) === undefined;
    }

    private async findHolder(
        entry: LedgerInstance,
        req: WorkloadRequest,
        refusal: string,
    ): Promise<LedgerInstance | undefined> {
        const gatherer = entry.ledger.getGathererIncarnation(req.budget);
        // As the router does: a short budget is asked of its gatherer, an outage of whoever holds a grant.
        if (gatherer !== undefined && refusal.startsWith("budget_")) {
            return this.fleet.find(instance => instance.info.incarnation === gatherer);
        }
        const asked = entry.hub.peers().map(async peer => ({
            peer,
            ...await entry.hub.request(
                peer.incarnation,
                "ledger.holdings",
                { budget: req.budget },
                HOLDINGS_TIMEOUT_MS,
            ),
        }));
        const answers = await Promise.allSettled(asked);
        const able = answers
            .filter(answer => answer.status === "fulfilled")
            .map(answer => answer.value)
            .find(answer => answer.available >= req.worstCase);
        return this.fleet.find(instance => instance.info.instance === able?.peer.instance);
    }

    /** Serves a request; returns the name of the refusal, if any. */
    private async serve(at: LedgerInstance, req: WorkloadRequest): Promise<string | undefined> {
        const startedMs = performance.now();
        const id = `r${this.nextId++}`;
        try {
            const reservation = await at.ledger.reserve(req.budget, req.worstCase);
            const acknowledged = await at.ledger.acknowledge(reservation, {
                id,
                streamId: id,
                team: req.budget,
                requestKey: id,
                offering: "model",
                target: "engine",
                targetKind: "engine",
                targetUrl: "http://127.0.0.1:1",
                idempotent: true,
                fingerprint: id,
            });
            this.latencies.record(performance.now() - startedMs);
            this.oracle.start(req.budget, req.worstCase);
            await sleep(req.serviceMs);
            this.oracle.end(req.budget, req.worstCase, req.used);
            await at.ledger.finish(acknowledged, req.used, this.getBill(req, id, at));
            return undefined;
        }
        catch (err) {
            // Only refusals are expected here; anything else is a fault of the ledger.
            const { result } = toOspreyError(err);
            if (result.outcome !== "not_run") {
                throw err;
            }
            return result.name;
        }
    }

    private getBill(req: WorkloadRequest, requestKey: string, at: LedgerInstance): Bill {
        return {
            requestKey,
            team: req.budget,
            budget: req.budget,
            offering: "model",
            promptTokens: 0,
            completionTokens: req.used,
            incarnation: at.info.incarnation,
            finishedAtMs: Date.now(),
        };
    }
}

const setKvDown = async (controlUrl: string, down: boolean): Promise<void> => {
    const res = await request(`${controlUrl}/stand-in/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ down }),
    });
    await res.body.dump();
};

const getCalls = async (controlUrl: string): Promise<{ readonly reads: number; readonly writes: number; }> => {
    const res = await request(`${controlUrl}/stand-in/calls`);
    return await res.body.json() as { readonly reads: number; readonly writes: number; };
};

/** Runs one variant of one shape through one scenario. */
export const runExperiment = async (opts: ExperimentOptions): Promise<ExperimentRow> => {
    const { shape, variant, scenario, seconds } = opts;
    const etcd = await startProcess({ script: getScriptPath("stand-ins/dist/etcd/main.js") });
    const kvUrl = toUrl(etcd.ready.address);
    const controlUrl = toUrl(etcd.ready.control);
    const kv = new EtcdKvClient({ endpoints: [kvUrl] });
    const budgets = getBudgets(opts);
    const prepaid = new Map(budgets.map(budget => [budget.name, budget.prepaid]));
    const left = new Map(budgets.map(budget => [budget.name, budget.prepaid - budget.spent]));
    await seedBudgets(kv, PREFIX, budgets);
    const fleet = await startLedgerFleet({ shape, variant, kvUrl, prepaid, prefix: PREFIX });
    const oracle = new BudgetOracle(left, prepaid);
    const experiment = new Experiment(opts, fleet, oracle);
    const tools = {
        fleet,
        setKvDown: (down: boolean) => setKvDown(controlUrl, down),
        kill: async (index: number) => {
            const instance = fleet[index];
            if (instance !== undefined) {
                await killInstance(instance);
            }
        },
    };
    try {
        const before = await getCalls(controlUrl);
        const faults = (async () => {
            await sleep(seconds * FAULT_BEGIN * MS_PER_S);
            await scenario.begin(tools);
            await sleep(seconds * (FAULT_END - FAULT_BEGIN) * MS_PER_S);
            await scenario.end(tools);
        })();
        await experiment.load(seconds);
        const after = await getCalls(controlUrl);
        await faults;
        await sleep(SETTLE_MS);
        const stranded = await readStranded(kv, PREFIX, fleet, prepaid);
        return {
            shape: shape.name,
            variant: variant.name,
            scenario: scenario.name,
            timeScale: scenario.timeScale,
            seconds,
            ...oracle.counts,
            overspentTokens: oracle.getOverspent(),
            unusedShare: oracle.getUnusedShare(),
            strandedShare: stranded,
            kvReadsPerS: (after.reads - before.reads) / seconds,
            kvWritesPerS: (after.writes - before.writes) / seconds,
            addedP50Ms: experiment.latencies.getPercentile(50),
            addedP99Ms: experiment.latencies.getPercentile(99),
        };
    }
    finally {
        await closeLedgerFleet(fleet);
        await kv.close();
        await etcd.stop();
    }
};
