import { probeConnection } from "@ospreyreel/targets";
import type { Target } from "../targets/target.js";
import { CrashCheck } from "./crash-check.js";

/** Options of {@link ConnectCrashCheck}. */
export interface ConnectCrashCheckOptions {
    /** Resolves whether another instance reaches the target, so that only this one is disconnected from it. */
    readonly isReachedByPeers: (target: Target) => Promise<boolean>;
}

/** Timeout of a connection attempt, in milliseconds: some round trips within a region. */
const TIMEOUT_MS = 150;

/**
 * Opens a connection to the target: a crashed one refuses it here and at other instances. Concurrent checks of one target
 * share a connection.
 */
export class ConnectCrashCheck extends CrashCheck {
    private readonly running = new Map<string, Promise<boolean>>();

    constructor(private readonly opts: ConnectCrashCheckOptions) {
        super();
    }

    override hasCrashed(target: Target): Promise<boolean> {
        const key = `${target.host}:${target.port}`;
        const check = this.running.get(key) ?? this.check(target).finally(() => this.running.delete(key));
        this.running.set(key, check);
        return check;
    }

    private async check(target: Target): Promise<boolean> {
        return await probeConnection(target, TIMEOUT_MS) === "refused" && !await this.opts.isReachedByPeers(target);
    }
}
