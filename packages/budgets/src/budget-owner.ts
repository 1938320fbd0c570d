import type { KvClient } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetDrawRequest, BudgetDrawResponse, InstanceInfo } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { BudgetLog } from "./budget-log.js";
import { getShard, orderOwners } from "./budget-shards.js";
import { NoteSender } from "./note-sender.js";
import type { OwnedBudget } from "./owned-budget.js";
import type { OwnedShard } from "./owned-shard.js";
import { ShardClaimer } from "./shard-claimer.js";
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
    readonly log?: BudgetLog;
}

/** Witnesses of one shard. Of five, three must accept a note, and a later owner must seal three. */
const WITNESSES_PER_SHARD = 5;

/** Time without contact after which a peer is lost, plus one heartbeat. */
const DEFAULT_DISCOVERY_MS = 2_000;

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
    private leaving = false;

    constructor(private readonly opts: BudgetOwnerOptions) {
        this.policy = opts.policy ?? new WindowPolicy();
        this.log = opts.log ?? (() => undefined);
        const chooseWitnesses = (shard: number): readonly string[] => this.chooseWitnesses(shard);
        this.notes = new NoteSender({ ...opts, policy: this.policy, log: this.log });
        const startedAtMs = performance.now();
        this.claimer = new ShardClaimer({
            kv: opts.kv,
            hub: opts.hub,
            chooseWitnesses,
            hasDiscoveredPeers: () => performance.now() - startedAtMs >= (opts.discoveryMs ?? DEFAULT_DISCOVERY_MS),
            log: this.log,
        });
        this.writer = new ShardWriter({
            kv: opts.kv,
            policy: this.policy,
            getPrepaid: opts.getPrepaid,
            chooseWitnesses: owned => this.selectWitnesses(owned),
            drop: owned => this.drop(owned),
            log: this.log,
        });
    }

    /** Registers the handler for draws of other instances. */
    serve(): void {
        this.opts.hub.handle("budget.draw", (req, from) => this.draw(req, from));
    }

    /** Shards owned now, for the state dump. */
    list(): readonly OwnedShard[] {
        return [...this.shards.values()];
    }

    /** Reconciles a borrower's counts and hands out the tokens it requests if the bounds cover them; does not throw. */
    async draw(req: BudgetDrawRequest, from: InstanceInfo): Promise<BudgetDrawResponse> {
        const found = await this.findShard(getShard(req.budget));
        if ("kind" in found) {
            return found;
        }
        const budget = found.getBudget(req.budget);
        if (!budget.reconcile(from.incarnation, req, found.epoch)) {
            return { kind: "unavailable", cause: "a later draw was taken already", isOwner: true };
        }
        const { epoch } = found;
        if (req.want === 0) {
            return { kind: "granted", epoch, tokens: 0, plenty: this.hasPlenty(budget) };
        }
        const tokens = Math.min(req.want, this.opts.getPrepaid(req.budget) - budget.spent);
        if (tokens < req.least) {
            return { kind: "exhausted", epoch };
        }
        budget.reserve(tokens);
        if (!await this.ensureCovered(found, budget) || this.shards.get(found.shard) !== found) {
            budget.release(tokens);
            return { kind: "unavailable", cause: "no bound could be written or noted", isOwner: true };
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
        const { isKvAvailable, getPrepaid } = this.opts;
        if (budget.spent <= budget.usable) {
            if (this.policy.isWideningDue(owned.getNumbers(budget, getPrepaid(budget.name)))) {
                void this.widen(owned, budget);
            }
            return true;
        }
        // While the KV service is known to be unavailable, the write only probes whether it is available again.
        const written = this.writer.write(owned);
        if (isKvAvailable()) {
            await Promise.race([written, sleep(WRITE_WAIT_MS)]);
        }
        return budget.spent <= budget.usable || await this.notes.ensureCovered(owned, budget);
    }

    private async widen(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const written = this.writer.write(owned);
        await (this.opts.isKvAvailable() ? written : this.notes.sendAhead(owned, budget));
    }

    private drop(owned: OwnedShard): void {
        if (this.shards.get(owned.shard) === owned) {
            this.shards.delete(owned.shard);
            this.log("budgets lost to another owner", { shard: owned.shard, epoch: owned.epoch });
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
