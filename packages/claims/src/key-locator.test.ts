import { OspreyError } from "@ospreyreel/errors";
import type { PeerHub } from "@ospreyreel/peer";
import type { KeyLookupResponse, KeyState } from "@ospreyreel/types";
import test from "ava";
import { KeyLocator } from "./key-locator.js";

const REQUEST = { team: "alpha", budget: "alpha", requestKey: "k" };

/** Creates a hub whose peers respond to lookups with these states; undefined stands for an unreachable peer. */
const createHub = (states: readonly (KeyState | undefined)[]): PeerHub => {
    const request = (incarnation: string): Promise<KeyLookupResponse> => {
        const port = Number(incarnation);
        const state = states[port];
        return state === undefined
            ? Promise.reject(new OspreyError("unreachable", { result: "peerUnavailable" }))
            : Promise.resolve({ state, caller: { host: "127.0.0.1", port } });
    };
    const self = () => ({ incarnation: "self" });
    const hub = { self, peers: () => states.map((_, port) => ({ incarnation: String(port) })), request };
    return hub as unknown as PeerHub;
};

const locate = (states: readonly (KeyState | undefined)[]): Promise<KeyLookupResponse | undefined> =>
    new KeyLocator({ hub: createHub(states), getKeyStatus: () => ({ state: "none" }), getDirectoryInstances: () => [] })
        .locate(
            REQUEST,
        );

test("the most informative state wins, in any order of peers", async t => {
    const order: readonly KeyState[] = ["running", "finished", "sealed", "billed", "copied", "pending", "none"];
    for (const [rank, state] of order.entries()) {
        const weaker = order.slice(rank);
        for (const states of [weaker, weaker.toReversed()]) {
            t.is((await locate(states))?.state, state === "none" ? undefined : state, states.join());
        }
    }
});

test("the address is that of the peer with the most informative state", async t => {
    t.is((await locate(["none", "copied", "running", "billed"]))?.caller.port, 2);
});

test("unreachable peers count as not knowing the key", async t => {
    t.is((await locate([undefined, "billed", undefined]))?.state, "billed");
    t.is(await locate([undefined, undefined]), undefined);
    t.is(await locate([]), undefined);
});
