import type { Target } from "../targets/target.js";
import type { WatchedRequest } from "./watched-request.js";

/** Part because of which a request must not be sent. */
export interface BlockedPart {
    /** A prompt part, or the request as a whole. */
    readonly part: string;
    /** Time after which a retry may succeed, in seconds. */
    readonly retryAfterS: number;
}

/** When a request was lost. */
export interface RequestLoss {
    /** Time since it was sent, in milliseconds. */
    readonly ranMs: number;
    /** Whether its answer had begun. */
    readonly hasBegun: boolean;
}

/** Keeps requests away from targets that crash them, as a whole or by a part of their prompt. */
export abstract class PartGate {
    /** Returns the part because of which a request must not be sent; undefined where it may be sent. */
    abstract getBlockedPart(watched: WatchedRequest): BlockedPart | undefined;

    /** Records that the answer to a request has begun. */
    abstract recordBegun(watched: WatchedRequest): void;

    /** Records that a request has got its whole answer. */
    abstract recordWhole(watched: WatchedRequest): void;

    /** Records that a target lost a request. Returns whether the request may be sent to another target. Does not throw. */
    abstract recordLoss(watched: WatchedRequest, target: Target, loss: RequestLoss): Promise<boolean>;
}

/** Lets every request pass. */
export class OpenPartGate extends PartGate {
    override getBlockedPart(): undefined {
        return undefined;
    }

    override recordBegun(): void {
        // Nothing is remembered.
    }

    override recordWhole(): void {
        // Nothing is remembered.
    }

    override recordLoss(): Promise<boolean> {
        return Promise.resolve(true);
    }
}
