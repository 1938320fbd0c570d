import type { RelayRequest } from "../relay-request.js";
import type { Target } from "../targets/target.js";

/** Part because of which a request must not be sent. */
export interface BlockedPart {
    readonly part: string;
    /** Time after which a retry may succeed, in seconds. */
    readonly retryAfterS: number;
}

/** Keeps requests away from targets whose prompt has a part that crashes targets. */
export abstract class PartGate {
    /** Returns the part because of which a request must not be sent; undefined where it may be sent. */
    abstract getBlockedPart(req: RelayRequest): BlockedPart | undefined;

    /** Records that the answer to a request has begun. */
    abstract recordBegun(req: RelayRequest): void;

    /**
     * Records that a target lost a request before its answer began. Returns whether the request may be sent to another
     * target. Does not throw.
     */
    abstract recordLoss(req: RelayRequest, target: Target): Promise<boolean>;
}

/** Lets every request pass. */
export class OpenPartGate extends PartGate {
    override getBlockedPart(): undefined {
        return undefined;
    }

    override recordBegun(): void {
        // Nothing is remembered.
    }

    override recordLoss(): Promise<boolean> {
        return Promise.resolve(true);
    }
}
