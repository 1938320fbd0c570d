import { EtcdKvClient } from "@ospreyreel/kv";
import { Ledger, LedgerKeys, StreamLookup, type StreamState } from "@ospreyreel/ledger";
import { AddressBook, chooseCopyHolder, createTcpPeerHub } from "@ospreyreel/peer";
import { getFreePorts } from "@ospreyreel/stand-ins";
import { Counters, createLog } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo } from "@ospreyreel/types";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { BlockableHub } from "./blockable-hub.js";
import { SHARDS } from "./seed-budgets.js";
import { getBudgetName, getTeamShares, type Shape } from "./shape.js";
import type { Variant } from "./variant.js";

/** The ledger of one instance with its links. */
export interface LedgerInstance {
    readonly info: InstanceInfo;
    readonly hub: BlockableHub;
    readonly kv: EtcdKvClient;
    readonly ledger: Ledger;
    readonly counters: Counters;
    alive: boolean;
}

/** What a fleet of ledgers is made of. */
export interface LedgerFleetOptions {
    readonly shape: Shape;
    readonly variant: Variant;
    readonly kvUrl: string;
    /** Prepaid tokens by budget. */
    readonly prepaid: ReadonlyMap<string, number>;
    /** First part of the keys. */
    readonly prefix: string;
}

/** Knows no streams: what is sealed stays in full. */
class NoLookup extends StreamLookup {
    override find(): Promise<StreamState> {
        return Promise.resolve({ state: "unknown" });
    }
}

const HEARTBEAT_MS = 500;
const REGISTER_POLL_MS = 20;

/** The address order of the fleet's variant. */
export const createAddressBook = (
    { shape, variant, prefix }: Pick<LedgerFleetOptions, "shape" | "variant" | "prefix">,
    getInstances: () => readonly InstanceInfo[],
): AddressBook => {
    const keys = new LedgerKeys(prefix, SHARDS);
    const shares = new Map(getTeamShares(shape).map((share, index) => [getBudgetName(index), share]));
    return new AddressBook({
        getInstances,
        policy: variant.createOrder(),
        shards: SHARDS,
        shardOf: budget => keys.shardOf(budget),
        getBudgetShare: budget => shares.get(budget) ?? 0,
    });
};

const startInstance = async (
    opts: LedgerFleetOptions,
    index: number,
    peerAddresses: readonly Address[],
    address: Address,
): Promise<LedgerInstance> => {
    const { shape, variant, kvUrl, prepaid } = opts;
    const counters = new Counters();
    const info: InstanceInfo = {
        instance: `instance-${index}`,
        incarnation: randomUUID(),
        availabilityZone: shape.zones[index % shape.zones.length] ?? "zone",
        region: shape.name,
        caller: address,
        peer: address,
        state: "live",
        configRevision: 1,
    };
    const sharedKey = "shared-key-of-the-bench";
    const links = await createTcpPeerHub({
        self: info,
        listen: address,
        sharedKey,
        heartbeatMs: HEARTBEAT_MS,
        counters,
    });
    links.setPeerAddresses(peerAddresses);
    const hub = new BlockableHub(links);
    const kv = new EtcdKvClient({ endpoints: [kvUrl], deadlineMs: 1_000, counters });
    const book = createAddressBook(opts, () => [hub.self(), ...hub.peers()]);
    const ledger = new Ledger({
        kv,
        hub,
        prefix: opts.prefix,
        budgets: name => ({ prepaid: prepaid.get(name) ?? 0, revision: 1 }),
        chooseCopyHolder,
        lookup: new NoLookup(),
        policy: variant.createPolicy(shape.instances),
        counters,
        log: createLog("bench"),
        ...(variant.gather ? { getGathererIncarnation: (budget: string) => book.getGathererIncarnation(budget) } : {}),
        recallRounds: variant.recall ? 2 : 0,
    });
    return { info, hub, kv, ledger, counters, alive: true };
};

/** Starts the ledgers of a fleet and waits until each has registered with a copy holder. */
export const startLedgerFleet = async (opts: LedgerFleetOptions): Promise<readonly LedgerInstance[]> => {
    const ports = await getFreePorts(opts.shape.instances);
    const addresses = ports.map(port => ({ host: "127.0.0.1", port }));
    const fleet = await Promise.all(addresses.map((address, index) => startInstance(opts, index, addresses, address)));
    while (fleet.some(({ hub }) => hub.peers().length < fleet.length - 1)) {
        await sleep(REGISTER_POLL_MS);
    }
    fleet.forEach(({ ledger, info }) => ledger.start(info.incarnation));
    while (fleet.some(({ ledger }) => ledger.getDump().copyHolder === undefined)) {
        await sleep(REGISTER_POLL_MS);
    }
    return fleet;
};

/** Ends one instance as a kill would: nothing is handed back. */
export const killInstance = async (instance: LedgerInstance): Promise<void> => {
    instance.alive = false;
    instance.ledger.abort();
    await instance.hub.close();
    await instance.kv.close();
};

/** Ends a fleet without handing back. */
export const closeLedgerFleet = async (fleet: readonly LedgerInstance[]): Promise<void> => {
    await Promise.all(fleet.filter(instance => instance.alive).map(killInstance));
};
