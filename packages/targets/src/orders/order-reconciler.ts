import type { OperatorsDocument, Target } from "@ospreyreel/config";
import { type Counters, createLog } from "@ospreyreel/telemetry";
import { setTimeout } from "node:timers/promises";
import { countNewModels, createDesiredStates, type DesiredState, getStateKey } from "./desired-state.js";
import type { LoadRateLimiter } from "./load-rate-limiter.js";
import type { HeldLease, OrderLease } from "./order-lease.js";
import type { OrderSender } from "./order-sender.js";

/** The document from which orders are derived. */
export interface OrderedDocument {
    readonly revision: number;
    readonly document: Pick<OperatorsDocument, "targets" | "offerings">;
}

/** Constructor options; times in milliseconds. */
export interface OrderReconcilerOptions {
    readonly lease: OrderLease;
    readonly sender: OrderSender;
    readonly loadRateLimiter: LoadRateLimiter;
    readonly counters: Counters;
    /** Returns the active document; `undefined` before the first one. */
    readonly getDocument: () => OrderedDocument | undefined;
    readonly stepMs?: number;
    /** Time before the lease's end in which engines that ignore fencing numbers get no orders. */
    readonly marginMs?: number;
    /** Maximum time from sending an order to its effect. */
    readonly maxOrderDelayMs?: number;
    /** Interval of read-backs of an engine whose state is correct. */
    readonly verifyIntervalMs?: number;
    /** Monotonic clock. */
    readonly now?: () => number;
}

interface Confirmation {
    readonly fencing: number;
    readonly stateKey: string;
    readonly atMs: number;
}

const DEFAULT_STEP_MS = 1000;
const DEFAULT_MARGIN_MS = 2000;
const DEFAULT_MAX_ORDER_DELAY_MS = 5000;
const DEFAULT_VERIFY_INTERVAL_MS = 5000;

/** Reconciles engines with the document's desired state while this instance holds the order lease. */
export class OrderReconciler {
    private readonly confirmations = new Map<string, Confirmation>();
    private readonly log = createLog("orders");
    private readonly now: () => number;
    private holding = false;

    constructor(private readonly opts: OrderReconcilerOptions) {
        this.now = opts.now ?? (() => performance.now());
    }

    /** Runs steps until the signal is aborted, then releases the lease. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.step();
            await setTimeout(this.opts.stepMs ?? DEFAULT_STEP_MS, undefined, { signal }).catch(() => undefined);
        }
        await this.opts.lease.release().catch(() => this.opts.counters.add("orders_kv_failed"));
    }

    /** Runs one round: acquires or renews the lease, then sends each engine the orders that it lacks. Never throws. */
    async step(): Promise<void> {
        const ordered = this.opts.getDocument();
        if (ordered === undefined || !await this.mayOrder(ordered.revision)) {
            return;
        }
        const states = createDesiredStates(ordered.document);
        const engines = ordered.document.targets.filter(target => target.kind === "engine");
        await Promise.all(engines.map(engine => this.reconcile(engine, states.get(engine.name) as DesiredState)));
    }

    private async mayOrder(revision: number): Promise<boolean> {
        try {
            const held = await this.opts.lease.acquireOrRenew();
            this.logHolding(held);
            return held !== undefined && await this.opts.lease.raiseDocumentRevision(revision);
        }
        catch {
            this.opts.counters.add("orders_kv_failed");
            // A lease that was not renewed stays valid until its end, for the document revision that it was raised to.
            return this.opts.lease.held?.documentRevision === revision;
        }
    }

    private logHolding(held: HeldLease | undefined): void {
        if (this.holding !== (held !== undefined)) {
            this.holding = held !== undefined;
            this.log.info({ holding: this.holding, fencing: held?.fencing ?? 0 }, "order lease state changed");
        }
    }

    private async reconcile(target: Target, desired: DesiredState): Promise<void> {
        const fencing = this.opts.lease.held?.fencing;
        if (fencing === undefined || this.isConfirmed(target, desired, fencing)) {
            return;
        }
        try {
            await this.applyDesiredState(target, desired, fencing);
        }
        catch {
            this.opts.counters.add("orders_failed");
        }
    }

    private isConfirmed(target: Target, desired: DesiredState, fencing: number): boolean {
        const last = this.confirmations.get(target.name);
        return last?.fencing === fencing && last.stateKey === getStateKey(desired)
            && this.now() - last.atMs < (this.opts.verifyIntervalMs ?? DEFAULT_VERIFY_INTERVAL_MS);
    }

    private async applyDesiredState(target: Target, desired: DesiredState, fencing: number): Promise<void> {
        const readMs = this.getRemainingMs(target, fencing);
        if (readMs <= 0) {
            return;
        }
        const before = await this.opts.sender.read(target, readMs);
        const isCorrect = before !== undefined && getStateKey(before) === getStateKey(desired);
        // A new holder sends the state again even where it is correct, so that the engine learns the fencing number.
        if (isCorrect && this.confirmations.get(target.name)?.fencing === fencing) {
            this.confirm(target, desired, fencing);
        }
        else if (await this.send(target, desired, fencing, countNewModels(desired, before))) {
            await this.readBack(target, desired, fencing);
        }
    }

    private async send(target: Target, desired: DesiredState, fencing: number, loads: number): Promise<boolean> {
        const timeoutMs = this.getRemainingMs(target, fencing);
        if (timeoutMs <= 0) {
            return false;
        }
        if (!this.opts.loadRateLimiter.tryTake(loads)) {
            this.opts.counters.add("orders_spaced");
            return false;
        }
        this.opts.counters.add("orders_sent");
        const outcome = await this.opts.sender.send({ target, fencing, desired, timeoutMs });
        this.opts.counters.add(`orders_${outcome}`);
        if (outcome === "fenced" && this.opts.lease.held?.fencing === fencing) {
            this.opts.lease.invalidate();
        }
        return outcome === "accepted";
    }

    private async readBack(target: Target, desired: DesiredState, fencing: number): Promise<void> {
        const timeoutMs = this.getRemainingMs(target, fencing);
        const after = timeoutMs > 0 ? await this.opts.sender.read(target, timeoutMs) : undefined;
        if (after !== undefined && getStateKey(after) === getStateKey(desired)) {
            this.confirm(target, desired, fencing);
        }
    }

    private confirm(target: Target, desired: DesiredState, fencing: number): void {
        this.confirmations.set(target.name, { fencing, stateKey: getStateKey(desired), atMs: this.now() });
    }

    /** Whole milliseconds in which an order may still be sent under a fencing number; 0 or less for none. */
    private getRemainingMs(target: Target, fencing: number): number {
        // Timeouts accept whole numbers only, and the real clock returns fractions.
        return Math.floor(this.getExactRemainingMs(target, fencing));
    }

    private getExactRemainingMs(target: Target, fencing: number): number {
        const { held } = this.opts.lease;
        if (held?.fencing !== fencing) {
            return 0;
        }
        if (target.checksFencing === true) {
            return held.endsAtMs - this.now();
        }
        const settleMs = fencing === 1 ? 0 : this.opts.maxOrderDelayMs ?? DEFAULT_MAX_ORDER_DELAY_MS;
        const isSettling = this.now() < held.wonAtMs + settleMs;
        return isSettling ? 0 : held.endsAtMs - (this.opts.marginMs ?? DEFAULT_MARGIN_MS) - this.now();
    }
}
