import test from "ava";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { OverloadGuard } from "./overload-guard.js";

const MS_PER_S = 1_000;
const DURATION_MS = 8_000;
/** Requests per second that the instance can serve; a refusal costs a tenth of a request. */
const CAPACITY_PER_S = 150;
const REFUSAL_COST = 0.1;
/** Time after which a caller disconnects, in milliseconds. */
const PATIENCE_MS = 1_000;
/**
 * Maximum wait while the refusal level rises, in milliseconds: half a second until the overload is detected, and the
 * backlog that builds up in that time at three times the capacity.
 */
const MAX_WAIT_MS = 1_500;
/** Time between two samples of the input delay, in milliseconds. */
const SAMPLE_INTERVAL_MS = 200;

type Counts = Readonly<Record<string, number>>;

interface Load {
    /** Requests per second by team. */
    readonly rates: Counts;
    readonly isGuarded: boolean;
}

interface Outcome {
    readonly sent: Counts;
    /** Requests that were started before their callers disconnected. */
    readonly served: Counts;
    readonly longestWaitMs: number;
}

interface QueuedRequest {
    readonly team: string;
    readonly sinceMs: number;
}

const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
};

/** Simulates a load on one processor that handles requests in order and sees each only when it is next. */
const simulate = ({ rates, isGuarded }: Load): Outcome => {
    const random = createRandom(1);
    const queue: QueuedRequest[] = [];
    const sent: Record<string, number> = {};
    const served: Record<string, number> = {};
    let nowMs = 0;
    let longestWaitMs = 0;
    let availableCapacity = 0;
    let idleMs = 0;
    const readAtMs: number[] = [];
    // A separate generator, so that the same requests arrive with and without the guard.
    const guard = new OverloadGuard({ nowMs: () => nowMs, random: createRandom(2) });
    const processRequest = ({ team, sinceMs }: QueuedRequest): number => {
        longestWaitMs = Math.max(longestWaitMs, nowMs - sinceMs);
        if (isGuarded && guard.getRefusal(team, 1) !== undefined) {
            return REFUSAL_COST;
        }
        served[team] = (served[team] ?? 0) + (nowMs - sinceMs < PATIENCE_MS ? 1 : 0);
        return 1;
    };
    for (; nowMs < DURATION_MS; nowMs++) {
        for (const [team, rate] of Object.entries(rates)) {
            if (random() * MS_PER_S < rate) {
                sent[team] = (sent[team] ?? 0) + 1;
                queue.push({ team, sinceMs: nowMs });
            }
        }
        availableCapacity = Math.min(1, availableCapacity + CAPACITY_PER_S / MS_PER_S);
        for (let next = queue[0]; next !== undefined && availableCapacity > 0; next = queue[0]) {
            queue.shift();
            readAtMs.push(nowMs);
            availableCapacity -= processRequest(next);
        }
        idleMs += queue.length === 0 ? 1 : 0;
        if (nowMs % SAMPLE_INTERVAL_MS === 0) {
            // A probe queues like a request, so it measures the wait of the oldest one.
            const inputDelayMs = nowMs - (queue[0]?.sinceMs ?? nowMs);
            const requests = readAtMs.filter(atMs => atMs > nowMs - inputDelayMs - SAMPLE_INTERVAL_MS).length;
            guard.recordSample({ inputDelayMs, idleShare: idleMs / SAMPLE_INTERVAL_MS, requests });
            idleMs = 0;
        }
    }
    return { sent, served, longestWaitMs };
};

const SMALL_TEAMS = ["b", "c", "d", "e", "f"] as const;
const usualRates = { a: 60, b: 10, c: 10, d: 10, e: 10, f: 10 };
const sum = (counts: Counts): number => Object.values(counts).reduce((all, count) => all + count, 0);

test("load pattern, one team at seven times its usual rate: the others are served, and no request waits long", t => {
    const rates = { ...usualRates, a: 7 * usualRates.a };
    const unguarded = simulate({ rates, isGuarded: false });
    const { sent, served, longestWaitMs } = simulate({ rates, isGuarded: true });
    t.true(longestWaitMs < MAX_WAIT_MS, `${longestWaitMs} ms`);
    for (const team of SMALL_TEAMS) {
        const all = sent[team] ?? 0;
        t.true((served[team] ?? 0) > 0.7 * all, `${team}: ${served[team]} of ${all}`);
        t.true((unguarded.served[team] ?? 0) < 0.5 * all, `without the guard ${team}: ${unguarded.served[team]}`);
    }
    t.true((served["a"] ?? 0) > (unguarded.served["a"] ?? 0));
});

test("load pattern, every team at 2.5 times its usual rate: most of the capacity is used, in time", t => {
    const rates = Object.fromEntries(Object.entries(usualRates).map(([team, rate]) => [team, 2.5 * rate]));
    const { served, longestWaitMs } = simulate({ rates, isGuarded: true });
    t.true(sum(served) > 0.7 * CAPACITY_PER_S * DURATION_MS / MS_PER_S, String(sum(served)));
    t.true(longestWaitMs < PATIENCE_MS, `${longestWaitMs} ms`);
});

test("below the capacity hardly any request is refused", t => {
    const { sent, served } = simulate({ rates: usualRates, isGuarded: true });
    t.true(sum(served) > 0.99 * sum(sent), `${sum(served)} of ${sum(sent)}`);
});

test("urgent requests are refused less often than others", t => {
    const guard = new OverloadGuard({ nowMs: () => 0, random: createRandom(2) });
    for (let sample = 0; sample < 5; sample++) {
        guard.recordSample({ inputDelayMs: 300, idleShare: 0, requests: 40 });
    }
    const [urgent = 0, other = 0] = [0, 3].map(priority =>
        Array.from({ length: 400 }, () => guard.getRefusal("a", priority)).filter(after => after !== undefined).length
    );
    t.true(urgent < other, `${urgent} and ${other}`);
});

test("waits of new connections refuse nothing while the event loop is partly idle", t => {
    const guard = new OverloadGuard({ nowMs: () => 0, random: () => 0 });
    for (let sample = 0; sample < 5; sample++) {
        guard.recordSample({ inputDelayMs: 1_000, idleShare: 0.3, requests: 40 });
    }
    t.is(guard.getRefusal("a", 3), undefined);
});

test("waits that few requests cannot explain refuse nothing, as where the process was suspended", t => {
    const guard = new OverloadGuard({ nowMs: () => 0, random: () => 0 });
    for (let sample = 0; sample < 50; sample++) {
        guard.recordSample({ inputDelayMs: 1_000, idleShare: 0, requests: 2 });
    }
    t.is(guard.getRefusal("a", 3), undefined);
});
