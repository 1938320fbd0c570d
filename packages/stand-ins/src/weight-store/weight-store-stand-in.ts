import type { Address } from "@ospreyreel/types";
import { type JsonHandler, sendJson, startJsonServer } from "../http-json/json-server.js";

/** Options of the weight store stand-in. */
export interface WeightStoreOptions {
    readonly host?: string;
    /** 0, the default, takes a free port. */
    readonly port?: number;
    /** Loads that the store allows each second. */
    readonly loadsPerS?: number;
    /** Loads that it allows at once after a pause. */
    readonly burst?: number;
    /** Clock of the rate limit, in milliseconds. */
    readonly now?: () => number;
}

/** What the store was asked for. */
export interface WeightStoreRecord {
    /** Names served, in order. */
    readonly served: readonly string[];
    /** Loads refused with status 429. */
    readonly refused: number;
}

/** A weight store in this process. */
export interface WeightStoreStandIn {
    readonly address: Address;
    readonly url: string;
    readonly record: () => WeightStoreRecord;
    readonly close: () => Promise<void>;
}

const DEFAULT_LOADS_PER_S = 1;
const DEFAULT_BURST = 2;
const WEIGHTS_PATH = "/weights/";

class TokenBucket {
    private tokens: number;
    private lastMs: number;

    constructor(private readonly perS: number, private readonly burst: number, private readonly now: () => number) {
        this.tokens = burst;
        this.lastMs = now();
    }

    tryTake(): boolean {
        const nowMs = this.now();
        this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.lastMs) / 1000 * this.perS);
        this.lastMs = nowMs;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}

/** Starts a rate-limited weight store stand-in; resolves once it takes connections. */
export const startWeightStoreStandIn = async (opts: WeightStoreOptions = {}): Promise<WeightStoreStandIn> => {
    const { loadsPerS = DEFAULT_LOADS_PER_S, burst = DEFAULT_BURST, now = () => performance.now() } = opts;
    const bucket = new TokenBucket(loadsPerS, burst, now);
    const served: string[] = [];
    let refused = 0;
    const handle: JsonHandler = async (req, res) => {
        const path = req.url ?? "/";
        if (path === "/stand-in/record") {
            sendJson(res, 200, { served, refused });
        }
        else if (!path.startsWith(WEIGHTS_PATH)) {
            sendJson(res, 404, { error: { message: "no such path" } });
        }
        else if (bucket.tryTake()) {
            const name = decodeURIComponent(path.slice(WEIGHTS_PATH.length));
            served.push(name);
            sendJson(res, 200, { name });
        }
        else {
            refused += 1;
            sendJson(res, 429, { error: { message: "rate limit" } }, { "retry-after": "1" });
        }
        return Promise.resolve();
    };
    const server = await startJsonServer(handle, opts);
    return {
        address: server.address,
        url: server.url,
        record: () => ({ served: [...served], refused }),
        close: server.close,
    };
};
