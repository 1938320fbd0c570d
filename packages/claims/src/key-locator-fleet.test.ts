import { AddressBook, RendezvousAddressOrder } from "@ospreyreel/peer";
import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo, KeyLookupRequest, KeyLookupResponse } from "@ospreyreel/types";
import test from "ava";
import { KeyDirectory } from "./key-directory.js";
import { KeyLocator, type KeyStatus } from "./key-locator.js";

const SHARD_COUNT = 16;
const KEY_COUNT = 20;

/** An instance of a test fleet, with the keys that it knows and the number of requests that it received. */
class TestInstance {
    readonly known = new Map<string, KeyStatus>();
    /** Instances that this one has not discovered. */
    undiscovered: readonly InstanceInfo[] = [];
    lookups = 0;
    announcements = 0;
    readonly locator: KeyLocator;
    private readonly book: AddressBook;

    constructor(readonly hub: MemoryHub) {
        this.book = new AddressBook({
            getInstances: () => [hub.self(), ...hub.peers().filter(peer => !this.undiscovered.includes(peer))],
            policy: new RendezvousAddressOrder(),
            shards: SHARD_COUNT,
            shardOf: budget => Number(budget),
            getBudgetShare: () => 0.1,
        });
        this.locator = new KeyLocator({
            hub,
            getKeyStatus: req => this.getKeyStatus(req),
            getDirectoryInstances: req => this.getDirectoryInstances(req),
        });
        this.locator.serve();
        const directory = new KeyDirectory();
        hub.handle("claims.announce", req => {
            this.announcements += 1;
            return Promise.resolve({ earlier: directory.announce(req) });
        });
    }

    getDirectoryInstances(req: KeyLookupRequest): readonly InstanceInfo[] {
        return this.book.getDirectoryInstances(req.budget, req.requestKey);
    }

    /** Accepts a request as an instance does: it knows the key before it queries its peers. */
    async accept(req: KeyLookupRequest): Promise<KeyLookupResponse | undefined> {
        this.known.set(req.requestKey, { state: "running" });
        return await this.locator.locate(req);
    }

    private getKeyStatus(req: KeyLookupRequest): KeyStatus {
        this.lookups += 1;
        return this.known.get(req.requestKey) ?? { state: "none" };
    }
}

interface TestFleet {
    readonly network: MemoryNetwork;
    readonly instances: readonly TestInstance[];
    /** Returns the number of requests between instances since the last call. */
    readonly countNewRequests: () => number;
    readonly at: (info: InstanceInfo | undefined) => TestInstance;
}

const createFleet = (size: number): TestFleet => {
    const network = new MemoryNetwork();
    const instances = Array.from({ length: size }, (_, i) => new TestInstance(network.createHub(`r-${i}`)));
    const count = (): number => instances.reduce((sum, instance) => sum + instance.lookups + instance.announcements, 0);
    let counted = 0;
    const countNewRequests = (): number => {
        const requestCount = count() - counted;
        counted += requestCount;
        return requestCount;
    };
    const at = (info: InstanceInfo | undefined): TestInstance => {
        const found = instances.find(({ hub }) => hub.self().incarnation === info?.incarnation);
        if (found === undefined) {
            throw new Error("no such instance");
        }
        return found;
    };
    return { network, instances, countNewRequests, at };
};

const requests: readonly KeyLookupRequest[] = Array.from({ length: KEY_COUNT }, (_, index) => ({
    team: "alpha",
    budget: String(index % SHARD_COUNT),
    requestKey: `key-${index}`,
}));

/** Picks two instances that are not directory instances of the key. */
const pickTwoOthers = ({ instances }: TestFleet, req: KeyLookupRequest): readonly [TestInstance, TestInstance] => {
    const directoryInstances = new Set(instances[0]?.getDirectoryInstances(req).map(info => info.incarnation));
    const [first, second] = instances.filter(({ hub }) => !directoryInstances.has(hub.self().incarnation));
    if (first === undefined || second === undefined) {
        throw new Error("too few instances");
    }
    return [first, second];
};

test("at 100 instances a key that no other instance accepted costs two requests", async t => {
    const fleet = createFleet(100);
    for (const [index, req] of requests.entries()) {
        t.is(await fleet.instances[index]?.accept(req), undefined);
        const requestCount = fleet.countNewRequests();
        t.true(requestCount <= 2, `${requestCount} requests`);
    }
});

test("at 100 instances a run on a directory instance or elsewhere is found with three requests", async t => {
    const fleet = createFleet(100);
    for (const req of requests) {
        const [elsewhere, querier] = pickTwoOthers(fleet, req);
        const directoryInstance = fleet.at(querier.getDirectoryInstances(req)[0]);
        for (const [index, runner] of [elsewhere, directoryInstance].entries()) {
            const ownReq = { ...req, requestKey: `${req.requestKey}-${index}` };
            await runner.accept(ownReq);
            fleet.countNewRequests();
            t.is((await querier.locator.locate(ownReq))?.state, "running");
            const requestCount = fleet.countNewRequests();
            t.true(requestCount <= 3, `${requestCount} requests`);
        }
    }
});

test("a run is found when one of the key's directory instances is lost after it began", async t => {
    for (const lost of [0, 1]) {
        const fleet = createFleet(100);
        for (const req of requests) {
            const [runner, querier] = pickTwoOthers(fleet, req);
            await runner.accept(req);
            const directoryInstance = fleet.at(querier.getDirectoryInstances(req)[lost]);
            fleet.network.disconnect(directoryInstance.hub);
            t.is((await querier.locator.locate(req))?.state, "running");
            fleet.network.reconnect(directoryInstance.hub);
        }
    }
});

test("a run is found by an instance that has not discovered one of the key's directory instances", async t => {
    const fleet = createFleet(100);
    for (const req of requests) {
        const [runner, querier] = pickTwoOthers(fleet, req);
        await runner.accept(req);
        querier.undiscovered = querier.getDirectoryInstances(req).slice(0, 1);
        t.is((await querier.locator.locate(req))?.state, "running");
        querier.undiscovered = [];
    }
});

test("a run whose instance is lost is found at its copy holder, whichever instance that is", async t => {
    const fleet = createFleet(100);
    for (const state of ["copied", "sealed", "billed"] as const) {
        const req = { team: "alpha", budget: "1", requestKey: state };
        const [runner, querier] = pickTwoOthers(fleet, req);
        await runner.accept(req);
        fleet.instances[77]?.known.set(state, { state, holder: runner.hub.self().incarnation });
        fleet.network.disconnect(runner.hub);
        t.is((await querier.locator.locate(req))?.state, state);
        fleet.network.reconnect(runner.hub);
    }
});

test("a copy at the querying instance does not count where its holder can be queried", async t => {
    const fleet = createFleet(100);
    const req = { team: "alpha", budget: "1", requestKey: "k" };
    const [runner, querier] = pickTwoOthers(fleet, req);
    t.is(await querier.locator.locate(req, runner.hub.self().incarnation), undefined);
    fleet.network.disconnect(runner.hub);
    t.is((await querier.locator.locate(req, runner.hub.self().incarnation))?.state, "copied");
});

test("all peers are queried where no directory instance can be reached", async t => {
    const fleet = createFleet(100);
    const req = { team: "alpha", budget: "1", requestKey: "k" };
    const [runner, querier] = pickTwoOthers(fleet, req);
    runner.known.set("k", { state: "running" });
    for (const directoryInstance of querier.getDirectoryInstances(req)) {
        // Still a member, but does not respond.
        fleet.at(directoryInstance).hub.handle("claims.announce", () => Promise.reject(new Error("no response")));
    }
    fleet.countNewRequests();
    t.is((await querier.locator.locate(req))?.state, "running");
    t.is(fleet.countNewRequests(), 99);
});

test("a forwarded run is found where it runs", async t => {
    const fleet = createFleet(100);
    const req = { team: "alpha", budget: "1", requestKey: "k" };
    const [entry, querier] = pickTwoOthers(fleet, req);
    t.is(await entry.locator.locate(req), undefined);
    const runner = fleet.instances[50];
    runner?.known.set("k", { state: "running" });
    await runner?.locator.announce(req);
    t.is((await querier.locator.locate(req))?.state, "running");
});

test("up to 16 peers all of them are queried, and nothing is announced", async t => {
    const fleet = createFleet(17);
    const req = { team: "alpha", budget: "1", requestKey: "k" };
    fleet.instances[3]?.known.set("k", { state: "running" });
    t.is((await fleet.instances[9]?.locator.locate(req))?.state, "running");
    t.is(fleet.countNewRequests(), 16);
    t.true(fleet.instances.every(({ announcements }) => announcements === 0));
});
