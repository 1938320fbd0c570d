import type { KvClient } from "@ospreyreel/kv";
import { IoTimeout } from "@ospreyreel/peer";
import type { RelayLog } from "../relay-log.js";
import type { ViewFreshness } from "../watch/view-freshness.js";
import type { TargetCodec } from "./target-codec.js";
import type { TargetDirectory } from "./target-directory.js";
import { getStartKey, type Target } from "./target.js";

/** A target that responded, and the connection on which it did. */
export interface RespondingTarget {
    readonly target: Target;
    /** Monotonic time at which the connection was open, in milliseconds; undefined where that is not known. */
    readonly connectedAtMs: number | undefined;
}

/** Tells whether the start of a target that responded is the one that it was selected as, so that it has the version of that one. */
export abstract class StartCheck {
    /** Whether this is certain by what is known here. */
    abstract isCertain(responding: RespondingTarget): boolean;

    /** Finds out whether it is; does not throw. */
    abstract verify(responding: RespondingTarget): Promise<boolean>;
}

/** Options of {@link AnnouncedStartCheck}. */
export interface AnnouncedStartCheckOptions {
    /** Reads entries, through peers where this instance does not reach the KV service. */
    readonly kv: Pick<KvClient, "get">;
    readonly codec: TargetCodec;
    readonly directory: Pick<TargetDirectory, "findStart">;
    readonly freshness: Pick<ViewFreshness, "ageMs">;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Longest wait for the KV service, in milliseconds: ten times its usual response time and a peer's timeout. */
const VERIFY_TIMEOUT_MS = 300;

/**
 * Checks starts by their entries. A target writes its entry before it listens, and a connection ends with its process: where the entry
 * names the start after the connection was open, that start is at its other end.
 */
export class AnnouncedStartCheck extends StartCheck {
    constructor(private readonly opts: AnnouncedStartCheckOptions) {
        super();
    }

    override isCertain({ target, connectedAtMs }: RespondingTarget): boolean {
        const { directory, freshness } = this.opts;
        const viewedAtMs = performance.now() - freshness.ageMs;
        return connectedAtMs !== undefined && connectedAtMs <= viewedAtMs
            && directory.findStart(getStartKey(target)) !== undefined;
    }

    override async verify(responding: RespondingTarget): Promise<boolean> {
        if (this.isCertain(responding)) {
            return true;
        }
        const { target } = responding;
        const found = await this.readInTime(target);
        const isVerified = found === getStartKey(target);
        this.opts.count(isVerified ? "target_starts_verified" : "target_starts_unknown");
        if (!isVerified) {
            this.opts.log.write("start of a target not known", { target: target.id, found });
        }
        return isVerified;
    }

    private async readInTime(target: Target): Promise<string> {
        return await new Promise(resolve => {
            const timeout = new IoTimeout(() => resolve("timeout"), VERIFY_TIMEOUT_MS);
            void this.read(target).then(found => {
                timeout.cancel();
                resolve(found);
            });
        });
    }

    /** Name of the start that the entry names, or why there is none. */
    private async read({ id }: Target): Promise<string> {
        const { kv, codec } = this.opts;
        try {
            const entry = await kv.get(`${codec.prefix}${id}`);
            const announced = entry === undefined ? undefined : codec.decode(id, entry.value);
            return announced === undefined ? "no entry" : getStartKey(announced);
        }
        catch (err) {
            return err instanceof Error ? err.message : String(err);
        }
    }
}
