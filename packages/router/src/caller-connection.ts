import type { ServerResponse } from "node:http";

/** A request on a connection whose response is not complete yet. */
export interface OpenRequest {
    readonly res: ServerResponse;
    /** Whether its body was received completely, so that it may run. */
    isBodyComplete: boolean;
}

/** Tracks the open requests of one caller's connection. */
export class CallerConnection {
    /** Whether the caller was notified that the connection closes; requests received after that are not run. */
    closing = false;
    /** Whether an error response to bytes that are not a valid request was written. */
    isRejected = false;
    private readonly openRequests = new Set<OpenRequest>();

    /** Tracks a request until its response is closed. */
    add(res: ServerResponse): OpenRequest {
        const openRequest: OpenRequest = { res, isBodyComplete: false };
        this.openRequests.add(openRequest);
        res.once("close", () => this.openRequests.delete(openRequest));
        return openRequest;
    }

    /**
     * Closes the responses queued behind another one when the connection closes; Node emits `close` only on the first
     * of them.
     */
    closeQueuedResponses(): void {
        for (const { res } of this.openRequests) {
            if (res.socket === null) {
                res.destroy();
                res.emit("close");
            }
        }
    }

    /**
     * Whether the caller would match an error response written now to the request being received, and not to an
     * earlier one.
     */
    get canReject(): boolean {
        const [first, ...others] = this.openRequests;
        return !this.isRejected && others.length === 0
            && (first === undefined || (!first.isBodyComplete && !first.res.headersSent));
    }
}
