import type { PeerHub } from "@ospreyreel/peer";
import { probeConnection, type ProbeOutcome } from "@ospreyreel/targets";
import type { InstanceInfo } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import { getStartKey, type Target } from "../targets/target.js";
import { PathState } from "./path-state.js";

/** Options of {@link TargetPaths}. */
export interface TargetPathsOptions {
    readonly hub: Pick<PeerHub, "request" | "handle" | "peers">;
    readonly directory: Pick<TargetDirectory, "findStart">;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
    /** Returns a random number in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
    /** Opens a connection to a target; {@link probeConnection} by default. */
    readonly probe?: (target: Target, timeoutMs: number) => Promise<ProbeOutcome>;
}

/** Timeout of a connection attempt for a peer, in milliseconds: some round trips within a region. */
const REACH_PROBE_TIMEOUT_MS = 200;

/** Timeout of a question to a peer, in milliseconds: the attempt and some round trips. */
const REACH_TIMEOUT_MS = 300;

/** Time for which the answer that no peer reaches a target is used again, in milliseconds. */
const UNREACHED_TTL_MS = 500;

/** Maximum number of peers that are asked about one target; each instance picks others. */
const MAX_ASKED = 6;

/** Time between two attempts to reach a target again, in milliseconds. */
const RESTORE_INTERVAL_MS = 1_000;

/** Timeout of such an attempt, in milliseconds. */
const RESTORE_TIMEOUT_MS = 400;

/**
 * Knows which targets this instance reaches itself. Where it does not and a peer does, its sends go through that peer until a
 * connection of its own is open again.
 */
export class TargetPaths {
    private readonly states = new Map<string, PathState>();
    private readonly nowMs: () => number;
    private readonly wait: (ms: number) => Promise<void>;
    private readonly random: () => number;
    private readonly probe: (target: Target, timeoutMs: number) => Promise<ProbeOutcome>;

    constructor(private readonly opts: TargetPathsOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        this.wait = opts.wait ?? (ms => sleep(ms, undefined, { ref: false }));
        this.random = opts.random ?? Math.random;
        this.probe = opts.probe ?? probeConnection;
    }

    /** Starts responding to questions of other instances. */
    serve(): void {
        this.opts.hub.handle("targets.reach", async ({ target }) => ({ isReachable: await this.reaches(target) }));
    }

    /** Whether this instance sends to the target itself. */
    isDirect(target: Target): boolean {
        return this.states.get(getStartKey(target))?.isLost !== true;
    }

    /**
     * Tells that a connection to the target could not be opened; resolves whether a peer reaches it, so that the sends go
     * through peers from now on.
     */
    async recordUnreachable(target: Target): Promise<boolean> {
        const state = this.getState(target);
        const isReached = await this.askPeers(target);
        if (isReached && !state.isLost) {
            this.lose(target, state);
        }
        return isReached;
    }

    /** Asks peers whether they reach the target; concurrent questions are asked once. */
    async askPeers(target: Target): Promise<boolean> {
        const state = this.getState(target);
        if (state.unreachedUntilMs > this.nowMs()) {
            return false;
        }
        state.asking ??= this.askOnce(target, state).finally(() => {
            state.asking = undefined;
        });
        return await state.asking;
    }

    /** A peer through which the target is reached, other than those excluded; undefined where none is known. */
    choosePeer(target: Target, excluded: ReadonlySet<string>): InstanceInfo | undefined {
        const state = this.states.get(getStartKey(target));
        const peers = this.opts.hub.peers().filter(({ incarnation, state: phase }) =>
            phase === "live" && state?.reachedBy.has(incarnation) === true && !excluded.has(incarnation)
        );
        return peers[Math.floor(this.random() * peers.length)];
    }

    /** Records that a peer does not reach the target, or cannot send for others. */
    dropPeer(target: Target, { incarnation }: InstanceInfo): void {
        this.states.get(getStartKey(target))?.reachedBy.delete(incarnation);
    }

    /** Forgets targets that are not announced any more. */
    keepOnly(targets: readonly Target[]): void {
        const kept = new Set(targets.map(getStartKey));
        [...this.states.keys()].filter(key => !kept.has(key)).forEach(key => this.states.delete(key));
    }

    private getState(target: Target): PathState {
        const key = getStartKey(target);
        const state = this.states.get(key) ?? new PathState();
        this.states.set(key, state);
        return state;
    }

    private async reaches(startKey: string): Promise<boolean> {
        const target = this.opts.directory.findStart(startKey)?.target;
        const state = this.states.get(startKey);
        if (target === undefined || target.leaving || state?.isLost === true) {
            return false;
        }
        // Earlier responses prove nothing: the question may come in the moment of a crash.
        return await this.probe(target, REACH_PROBE_TIMEOUT_MS) === "open";
    }

    /** Resolves with the first peer that reaches the target; the others are recorded as they respond. */
    private async askOnce(target: Target, state: PathState): Promise<boolean> {
        const asked = this.opts.hub.peers().filter(peer => peer.state === "live")
            .map(peer => ({ peer, at: this.random() }))
            .toSorted((a, b) => a.at - b.at)
            .slice(0, MAX_ASKED);
        try {
            await Promise.any(asked.map(({ peer }) => this.askPeer(target, state, peer)));
            return true;
        }
        catch {
            // No peer reaches it; the caller decides what that means.
            state.unreachedUntilMs = this.nowMs() + UNREACHED_TTL_MS;
            return false;
        }
    }

    private async askPeer(target: Target, state: PathState, { incarnation, instance }: InstanceInfo): Promise<void> {
        const req = { target: getStartKey(target) };
        const { isReachable } = await this.opts.hub.request(incarnation, "targets.reach", req, REACH_TIMEOUT_MS);
        if (!isReachable) {
            state.reachedBy.delete(incarnation);
            throw new Error(`${instance} does not reach the target`);
        }
        state.reachedBy.add(incarnation);
    }

    private lose(target: Target, state: PathState): void {
        const { directory, log, count } = this.opts;
        state.isLost = true;
        directory.findStart(getStartKey(target))?.health.recordPathChange(this.nowMs());
        count("target_paths_lost");
        log.write("path to target lost", {
            target: target.id,
            service: target.service,
            reachedBy: state.reachedBy.size,
        });
        void this.restore(target, state);
    }

    /** Tries to reach the target until it does or the target is gone. */
    private async restore(target: Target, state: PathState): Promise<void> {
        const { directory, log } = this.opts;
        const lostAtMs = this.nowMs();
        while (directory.findStart(getStartKey(target)) !== undefined) {
            await this.wait(RESTORE_INTERVAL_MS * (0.5 + this.random()));
            if (await this.probe(target, RESTORE_TIMEOUT_MS) === "open") {
                state.isLost = false;
                state.reachedBy.clear();
                log.write("path to target restored", { target: target.id, ms: Math.round(this.nowMs() - lostAtMs) });
                return;
            }
        }
    }
}
