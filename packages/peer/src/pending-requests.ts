import { peerUnavailable, requestNotSent } from "./errors.js";
import { IoTimeout } from "./io-timeout.js";

interface PendingRequest {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: Error) => void;
    readonly timeout: IoTimeout;
}

/** Requests sent on one link that have no reply yet. */
export class PendingRequests {
    private readonly pending = new Map<number, PendingRequest>();
    private nextId = 1;

    /** Number of requests without a reply. */
    get size(): number {
        return this.pending.size;
    }

    /** Sends with a new id and waits for the reply; throws `peerUnavailable` after the timeout or on failure. */
    add(send: (id: number) => void, timeoutMs: number): Promise<unknown> {
        const id = this.nextId++;
        return new Promise((resolve, reject) => {
            const expire = (): void => void this.fail(id, `no reply within ${timeoutMs} ms`);
            this.pending.set(id, { resolve, reject, timeout: new IoTimeout(expire, timeoutMs) });
            try {
                send(id);
            }
            catch (cause) {
                this.remove(id);
                reject(requestNotSent("the request could not be sent", cause));
            }
        });
    }

    /** Resolves a request with its reply; false where the id is unknown or timed out. */
    resolve(id: number, body: unknown): boolean {
        const request = this.remove(id);
        request?.resolve(body);
        return request !== undefined;
    }

    /** Fails a request with `peerUnavailable`; false where the id is unknown or timed out. */
    fail(id: number, message: string): boolean {
        const request = this.remove(id);
        request?.reject(peerUnavailable(message));
        return request !== undefined;
    }

    /** Fails all requests with `peerUnavailable`. */
    failAll(message: string): void {
        for (const id of [...this.pending.keys()]) {
            this.fail(id, message);
        }
    }

    private remove(id: number): PendingRequest | undefined {
        const request = this.pending.get(id);
        request?.timeout.cancel();
        this.pending.delete(id);
        return request;
    }
}
