import type { KvClient } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetDrawRequest, BudgetDrawResponse, InstanceInfo } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { BudgetLog } from "./budget-log.js";
import { getShard, orderOwners } from "./budget-shards.js";
import type { BudgetWitness } from "./budget-witness.js";
import { CopyHorizon } from "./copy-horizon.js";
import { EraSettler } from "./era-settler.js";
import { FirstEra } from "./first-era.js";
import { KnownBudgets } from "./known-budgets.js";
import { NoteSender } from "./note-sender.js";
import type { OwnedBudget } from "./owned-budget.js";
import type { OwnedShard } from "./owned-shard.js";
import { OwnerSearch } from "./owner-search.js";
import { ShardClaimer } from "./shard-claimer.js";
import { getShardKey } from "./shard-record.js";
import { ShardWriter } from "./shard-writer.js";
import { SCARCE_SHARE, WindowPolicy } from "./window-policy.js";

/** Options of {@link BudgetOwner}. */
export interface BudgetOwnerOptions {
    readonly kv: KvClient;
    /** Whether the KV service responds, so that a draw may wait for a write. */
    readonly isKvAvailable: () => boolean;
    readonly hub: PeerHub;
    /** Tokens that a team has paid for; 0 where it has no budget. */
    readonly getPrepaid: (budget: string) => number;
    readonly policy?: WindowPolicy;
    /** Time after the start in which all live instances are discovered, in milliseconds; 2,000 by default. */
    readonly discoveryMs?: number;
    /** Age of the oldest copy from which the KV service may come back, in milliseconds; 8,000 by default. */
    readonly maxCopyAgeMs?: number;
    readonly log?: BudgetLog;
}

/** Witnesses of one shard. Of five, three must accept a note, and a later owner must seal three. */
const WITNESSES_PER_SHARD = 5;

/** Time without contact after which a peer is lost, plus one heartbeat. */
const DEFAULT_DISCOVERY_MS = 2_000;

/** The platform restores copies that are some seconds old. */
const DEFAULT_MAX_COPY_AGE_MS = 8_000;

/** Time between two attempts to register budgets, in milliseconds. */
const REGISTER_INTERVAL_MS = 1_000;

/** Time between two attempts to write a record again that a restore has lost, in milliseconds. */
const REWRITE_INTERVAL_MS = 200;

/** Longest wait of a draw for the KV service, in milliseconds; ten times its usual response time. */
const WRITE_WAIT_MS = 40;

/**
 * Longest wait of a draw for a claim, in milliseconds: two usual response times and a seal. The claim itself continues.
 */
const CLAIM_WAIT_MS = 100;

/** Remainder of a budget, in seconds of use, below which borrowers should retain no unused tokens. */
const PLENTY_S = 4;

/** Time for which a live owner at another instance is not looked up again, in milliseconds. */
const KNOWN_OWNER_REUSE_MS = 500;

/** The shard whose preferred owner settles eras for the fleet. */
const SETTLING_SHARD = 0;

interface KnownOwner {
    readonly owner: string;
    readonly untilMs: number;
}

/** Owns shards of budgets and hands their tokens out to borrowers, within bounds that are written ahead. */
export class BudgetOwner {
    private readonly shards = new Map<number, OwnedShard>();
    private readonly claims = new Map<number, Promise<OwnedShard | BudgetDrawResponse>>();
    private readonly notes: NoteSender;
    private readonly knownOwners = new Map<number, KnownOwner>();
    private readonly policy: WindowPolicy;
    private readonly log: BudgetLog;
    private readonly claimer: ShardClaimer;
    private readonly writer: ShardWriter;
    private readonly search: OwnerSearch;
    private readonly names: KnownBudgets;
    private readonly firstEra: FirstEra;
    private readonly settler: EraSettler;
    private readonly startedAtMs = performance.now();
    private leaving = false;
    /** Whether a read is in flight whose answer may raise ceilings. */
    private isConfirming = false;

    constructor(private readonly opts: BudgetOwnerOptions, witness: Pick<BudgetWitness, "seal">) {
        this.policy = opts.policy ?? new WindowPolicy();
        this.log = opts.log ?? (() => undefined);
        const chooseWitnesses = (shard: number): readonly string[] => this.chooseWitnesses(shard);
        this.notes = new NoteSender({ hub: opts.hub, policy: this.policy, log: this.log });
        const { history } = opts.kv;
        const horizon = new CopyHorizon({ history, maxCopyAgeMs: opts.maxCopyAgeMs ?? DEFAULT_MAX_COPY_AGE_MS });
        this.names = new KnownBudgets(horizon);
        history.onRestore(() => {
            this.names.followEra();
            this.writeAgain();
        });
        this.search = new OwnerSearch({
            hub: opts.hub,
            getOwnEpoch: shard => this.shards.get(shard)?.epoch,
            witness,
        });
        this.firstEra = new FirstEra(opts.kv, this.log);
        this.settler = new EraSettler({
            kv: opts.kv,
            horizon,
            firstEra: this.firstEra,
            getBudgets: () => this.names.names,
            isResponsible: () => this.isPreferredOwner(SETTLING_SHARD),
            claim: shards => this.claimUnowned(shards),
            log: this.log,
        });
        this.claimer = new ShardClaimer({
            kv: opts.kv,
            hub: opts.hub,
            horizon,
            firstEra: this.firstEra,
            search: this.search,
            getPrepaid: opts.getPrepaid,
            getFirstEra: budget => this.names.getFirstEra(budget),
            chooseWitnesses,
            hasDiscoveredPeers: () => this.hasDiscoveredPeers,
            log: this.log,
        });
        this.writer = new ShardWriter({
            kv: opts.kv,
            horizon,
            policy: this.policy,
            findSeal: owned => this.notes.findSeal(owned),
            chooseWitnesses: owned => this.selectWitnesses(owned),
            drop: owned => this.drop(owned),
            log: this.log,
        });
    }

    /** Registers the handler for draws of other instances. */
    serve(): void {
        this.opts.hub.handle("budget.draw", (req, from) => this.draw(req, from));
        this.search.serve();
        this.settler.start();
    }

    /** Earliest era in which budgets without a record can have been used, as last read here, for the state dump. */
    get knownFirstEra(): number | undefined {
        return this.firstEra.lastKnown;
    }

    /** Shards owned now, for the state dump. */
    list(): readonly OwnedShard[] {
        return [...this.shards.values()];
    }

    /**
     * Writes records for the budgets of a desired state that are not known yet, where this instance should own them, so that their
     * ceilings are in each copy before they are needed. Does not throw.
     */
    async register(budgets: readonly string[]): Promise<void> {
        let missing = this.names.add(budgets);
        while (missing.length > 0 && !this.leaving) {
            // An instance that knows no peers yet would own all budgets.
            const isSettled = this.hasDiscoveredPeers && this.opts.hub.self().state === "live";
            const areRegistered = isSettled ? await this.registerShards(missing) : [];
            missing = missing.filter((_, at) => areRegistered[at] !== true);
            await sleep(missing.length > 0 ? REGISTER_INTERVAL_MS : 0);
        }
    }

    /** Reconciles a borrower's counts and hands out the tokens it requests if the bounds cover them; does not throw. */
    async draw(req: BudgetDrawRequest, from: InstanceInfo): Promise<BudgetDrawResponse> {
        const shard = getShard(req.budget);
        this.dropIfSuperseded(shard, req.epoch);
        const found = await this.findShard(shard);
        if ("kind" in found) {
            return found;
        }
        const prepaid = this.opts.getPrepaid(req.budget);
        if (prepaid === 0 && !found.budgets.has(req.budget)) {
            // A budget whose tokens are not known yet would start with bounds for none.
            return { kind: "exhausted", epoch: found.epoch };
        }
        const budget = found.getBudget(req.budget);
        if (!budget.reconcile(from.incarnation, req, found.epoch)) {
            return { kind: "unavailable", cause: "a later draw was taken already", isOwner: true };
        }
        const { epoch } = found;
        if (req.want === 0) {
            return { kind: "granted", epoch, tokens: 0, plenty: this.hasPlenty(budget) };
        }
        const remaining = prepaid - budget.spent;
        if (remaining < req.least) {
            return { kind: "exhausted", epoch };
        }
        const tokens = Math.max(req.least, Math.min(req.want, remaining, budget.ceilings.usable - budget.spent));
        budget.reserve(tokens);
        if (!await this.ensureCovered(found, budget) || this.shards.get(found.shard) !== found) {
            const retryAfterMs = budget.ceilings.getWaitMs(budget.spent);
            const isBelowCeilings = budget.spent <= budget.ceilings.usable;
            budget.release(tokens);
            return isBelowCeilings
                ? { kind: "unavailable", cause: "no bound could be written or noted", isOwner: true }
                : { kind: "unavailable", cause: "older copies do not cover the use yet", isOwner: true, retryAfterMs };
        }
        budget.handOut(from.incarnation, tokens);
        return { kind: "granted", epoch, tokens, plenty: this.hasPlenty(budget) };
    }

    /**
     * Releases all shards with exact bounds, for a graceful stop, and claims none from then on. Returns whether all are
     * released; shards whose write the KV service did not accept are still served.
     */
    async releaseOwnership(): Promise<boolean> {
        this.leaving = true;
        const owned = [...this.shards.values()];
        this.shards.clear();
        const stillOwned = await this.writer.releaseOwnership(owned);
        stillOwned.forEach(shard => this.shards.set(shard.shard, shard));
        return stillOwned.length === 0;
    }

    private get hasDiscoveredPeers(): boolean {
        return performance.now() - this.startedAtMs >= (this.opts.discoveryMs ?? DEFAULT_DISCOVERY_MS);
    }

    /** Returns for each budget whether it needs nothing more of this instance. */
    private async registerShards(budgets: readonly string[]): Promise<readonly boolean[]> {
        const shards = new Set(budgets.map(budget => getShard(budget)));
        const registered = new Map<number, boolean>();
        for (const shard of shards) {
            const isOwn = this.shards.has(shard) || this.isPreferredOwner(shard);
            const found = isOwn ? await this.findShard(shard) : undefined;
            registered.set(shard, found === undefined || !("kind" in found) || found.kind === "elsewhere");
        }
        const owned = budgets.filter(budget => this.opts.getPrepaid(budget) > 0)
            .map(budget => ({ budget, shard: this.shards.get(getShard(budget)) }));
        await Promise.all(owned.map(async ({ budget, shard }) => {
            if (shard !== undefined && !shard.budgets.has(budget)) {
                shard.getBudget(budget);
                await this.writer.write(shard);
            }
        }));
        return budgets.map(budget => registered.get(getShard(budget)) === true);
    }

    /** Whether this instance comes first among those that could own a shard. */
    private isPreferredOwner(shard: number): boolean {
        const { hub } = this.opts;
        const live = [hub.self(), ...hub.peers()].filter(peer => peer.state === "live");
        return this.hasDiscoveredPeers && orderOwners(shard, live)[0]?.incarnation === hub.self().incarnation;
    }

    /** Claims shards that certainly no live instance owns. */
    private async claimUnowned(shards: readonly number[]): Promise<void> {
        for (const shard of shards) {
            const { owner, areAllHeard } = await this.search.find(shard);
            if (owner === undefined && areAllHeard) {
                await this.findShard(shard);
            }
        }
    }

    private async findShard(shard: number): Promise<OwnedShard | BudgetDrawResponse> {
        const owned = this.shards.get(shard);
        if (owned !== undefined) {
            return owned;
        }
        const known = this.knownOwners.get(shard);
        if (known !== undefined && performance.now() < known.untilMs && this.isLive(known.owner)) {
            return { kind: "elsewhere", owner: known.owner };
        }
        if (this.leaving) {
            return { kind: "elsewhere", owner: undefined };
        }
        const claim = this.claims.get(shard) ?? this.claim(shard).finally(() => this.claims.delete(shard));
        this.claims.set(shard, claim);
        const timedOut = { kind: "unavailable", cause: "the claim takes too long", isOwner: false } as const;
        return await Promise.race([claim, sleep(CLAIM_WAIT_MS).then(() => timedOut)]);
    }

    private async claim(shard: number): Promise<OwnedShard | BudgetDrawResponse> {
        const claimed = await this.claimer.claim(shard);
        switch (claimed.kind) {
            case "owned":
                this.shards.set(shard, claimed.shard);
                return claimed.shard;
            case "elsewhere":
                this.knownOwners.set(shard, {
                    owner: claimed.owner,
                    untilMs: performance.now() + KNOWN_OWNER_REUSE_MS,
                });
                return claimed;
            case "unavailable":
                return { ...claimed, isOwner: false };
        }
    }

    private isLive(incarnation: string): boolean {
        return this.opts.hub.peers().some(peer => peer.incarnation === incarnation);
    }

    /** Writes or notes a higher bound if needed; returns whether the tokens handed out are within the bounds. */
    private async ensureCovered(owned: OwnedShard, budget: OwnedBudget): Promise<boolean> {
        const { isKvAvailable } = this.opts;
        if (budget.spent <= budget.usable) {
            if (owned.isWriteDue(this.policy, budget)) {
                void this.widen(owned, budget);
            }
            return true;
        }
        if (budget.spent > budget.ceilings.usable) {
            this.raiseCeiling(owned, budget);
            return false;
        }
        // While the KV service is known to be unavailable, the write only probes whether it is available again.
        const written = this.writer.write(owned);
        if (isKvAvailable()) {
            await Promise.race([written, sleep(WRITE_WAIT_MS)]);
        }
        return budget.spent <= budget.usable || await this.notes.ensureCovered(owned, budget);
    }

    /** Writes a higher ceiling, or has the KV service confirm that one is in each copy. */
    private raiseCeiling(owned: OwnedShard, budget: OwnedBudget): void {
        budget.uncoveredUse = Math.max(budget.uncoveredUse, budget.spent);
        if (owned.isWriteDue(this.policy, budget)) {
            void this.writer.write(owned);
        }
        else if (budget.ceilings.isConfirmable && !this.isConfirming) {
            this.isConfirming = true;
            this.opts.kv.get(getShardKey(owned.shard))
                .catch((err: unknown) => this.log("ceiling not confirmed", { budget: budget.name, cause: String(err) }))
                .finally(() => this.isConfirming = false);
        }
    }

    private async widen(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const written = this.writer.write(owned);
        await (this.opts.isKvAvailable() ? written : this.notes.sendAhead(owned, budget));
    }

    /** The KV service may hold older records, which do not bound the use of these owners. */
    private writeAgain(): void {
        for (const owned of this.shards.values()) {
            owned.markRestored();
            void this.writeUntilConfirmed(owned);
        }
    }

    private async writeUntilConfirmed(owned: OwnedShard): Promise<void> {
        while (owned.mayBeSuperseded && this.shards.get(owned.shard) === owned) {
            await this.writer.write(owned);
            await sleep(REWRITE_INTERVAL_MS);
        }
    }

    /** Gives a shard up that another instance owns in a later epoch: borrowers know an epoch only from its owner. */
    private dropIfSuperseded(shard: number, knownEpoch: number): void {
        const owned = this.shards.get(shard);
        if (owned !== undefined && owned.epoch < knownEpoch) {
            this.drop(owned, { laterEpoch: knownEpoch });
        }
    }

    private drop(owned: OwnedShard, fields: Readonly<Record<string, number>> = {}): void {
        if (this.shards.get(owned.shard) === owned) {
            this.shards.delete(owned.shard);
            this.log("budgets lost to another owner", { shard: owned.shard, epoch: owned.epoch, ...fields });
        }
    }

    private hasPlenty(budget: OwnedBudget): boolean {
        const prepaid = this.opts.getPrepaid(budget.name);
        return prepaid - budget.spent > Math.max(budget.meter.ratePerS * PLENTY_S, prepaid * SCARCE_SHARE);
    }

    /** The current witnesses as long as all are alive, since a change of witnesses stops notes for a while. */
    private selectWitnesses(owned: OwnedShard): readonly string[] {
        const { witnesses } = owned.record;
        const areComplete = witnesses.length === WITNESSES_PER_SHARD
            && witnesses.every(witness => this.isLive(witness));
        return areComplete ? witnesses : this.chooseWitnesses(owned.shard);
    }

    /** Live peers, other availability zones first. */
    private chooseWitnesses(shard: number): readonly string[] {
        const { hub } = this.opts;
        const { availabilityZone } = hub.self();
        const peers = orderOwners(shard, hub.peers().filter(peer => peer.state === "live"));
        const remote = peers.filter(peer => peer.availabilityZone !== availabilityZone);
        const local = peers.filter(peer => peer.availabilityZone === availabilityZone);
        return [...remote, ...local].slice(0, WITNESSES_PER_SHARD).map(peer => peer.incarnation);
    }
}
