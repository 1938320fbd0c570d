import { UsageRate } from "./usage-rate.js";

/** One budget's grant at this incarnation, in tokens. */
export class LocalGrant {
    /** Never above the grant in the key-value service; raised only from a view whose outcome is certain. */
    granted = 0;
    /** Tokens of finished requests, settled or not. */
    used = 0;
    /** Tokens of requests that have not finished. */
    reserved = 0;
    lastUseMs = 0;
    readonly rate = new UsageRate();

    /** Tokens free for reservation. */
    get available(): number {
        return this.granted - this.used - this.reserved;
    }

    /** Reserves tokens for a request. */
    reserve(tokens: number, nowMs: number): void {
        this.reserved += tokens;
        this.lastUseMs = nowMs;
        this.rate.add(tokens, nowMs);
    }

    /** Ends a reservation with the tokens used of it. */
    end(reserved: number, used: number): void {
        this.reserved -= reserved;
        this.used += used;
    }
}
