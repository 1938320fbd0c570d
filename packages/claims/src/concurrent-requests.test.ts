import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { Counters } from "@ospreyreel/telemetry";
import type { KeyLookupResponse } from "@ospreyreel/types";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { KeyLocator } from "./key-locator.js";
import { RequestRegistry } from "./request-registry.js";

const REQUEST = { team: "alpha", budget: "alpha", requestKey: "k" };
const IDENTITY = { team: "alpha", requestKey: "k", fingerprint: "f" };
/** Longest delay of a caller's request; several exchanges of messages fit into it. */
const MAX_DELAY_MS = 3;

interface KeyInstance {
    readonly accept: () => Promise<KeyLookupResponse | undefined>;
}

const createInstance = (network: MemoryNetwork, name: string): KeyInstance => {
    const hub = network.createHub(name, name);
    const registry = new RequestRegistry({ counters: new Counters() });
    const locator = new KeyLocator({
        hub,
        getKeyStatus: () => ({ state: registry.getState("alpha", "k") }),
        getDirectoryInstances: () => [],
    });
    locator.serve();
    const accept = async (): Promise<KeyLookupResponse | undefined> => {
        const response = registry.add(IDENTITY, { pending: true });
        return await locator.locate(REQUEST, undefined, found => {
            if (found === undefined) {
                registry.markRunning(IDENTITY);
            }
            else {
                response.forwardTo(found.caller);
            }
        });
    };
    return { accept };
};

const INSTANCE_NAMES = ["a", "b", "c"] as const;
const delaysMs = [...Array(MAX_DELAY_MS + 1).keys()];
const delayCombinations = delaysMs.flatMap(a => delaysMs.flatMap(b => delaysMs.map(c => [a, b, c])));

test("of instances that accept a key at the same time one runs it, and no two forward it to each other", async t => {
    await Promise.all(delayCombinations.map(async delays => {
        const network = new MemoryNetwork();
        const instances = INSTANCE_NAMES.map(name => createInstance(network, name));
        const found = await Promise.all(instances.map(async ({ accept }, index) => {
            const delayMs = delays[index] ?? 0;
            if (delayMs > 0) {
                await sleep(delayMs);
            }
            return await accept();
        }));
        t.is(found.filter(response => response === undefined).length, 1, `accepted after ${delays.join(", ")} ms`);
    }));
});
