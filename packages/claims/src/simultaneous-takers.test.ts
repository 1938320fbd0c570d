import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { Counters } from "@ospreyreel/telemetry";
import type { KeyLookupAnswer } from "@ospreyreel/types";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { KeyLocator } from "./key-locator.js";
import { RequestRegistry } from "./request-registry.js";

const REQUEST = { team: "alpha", budget: "alpha", requestKey: "k" };
const IDENTITY = { team: "alpha", requestKey: "k", fingerprint: "f" };
/** Longest time between two callers' requests, in milliseconds; some exchanges of messages. */
const LONGEST_APART_MS = 3;

interface Taker {
    readonly take: () => Promise<KeyLookupAnswer | undefined>;
}

const createTaker = (network: MemoryNetwork, name: string): Taker => {
    const hub = network.createHub(name, name);
    const registry = new RequestRegistry({ counters: new Counters() });
    const locator = new KeyLocator({
        hub,
        getKnowledge: () => ({ state: registry.getState("alpha", "k") }),
        getHomes: () => [],
    });
    locator.serve();
    const take = async (): Promise<KeyLookupAnswer | undefined> => {
        const answer = registry.add(IDENTITY, { pending: true });
        return await locator.locate(REQUEST, undefined, found => {
            if (found === undefined) {
                registry.noteRuns(IDENTITY);
            }
            else {
                answer.passOn(found.caller);
            }
        });
    };
    return { take };
};

const NAMES = ["a", "b", "c"] as const;
const pauses = [...Array(LONGEST_APART_MS + 1).keys()];
const orders = pauses.flatMap(a => pauses.flatMap(b => pauses.map(c => [a, b, c])));

test("of instances that take a key at the same time one runs it, and no two pass it to each other", async t => {
    await Promise.all(orders.map(async order => {
        const network = new MemoryNetwork();
        const takers = NAMES.map(name => createTaker(network, name));
        const found = await Promise.all(takers.map(async ({ take }, at) => {
            const pauseMs = order[at] ?? 0;
            if (pauseMs > 0) {
                await sleep(pauseMs);
            }
            return await take();
        }));
        t.is(found.filter(answer => answer === undefined).length, 1, `taken after ${order.join(", ")} ms`);
    }));
});
