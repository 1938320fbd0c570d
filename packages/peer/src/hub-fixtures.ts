import { Counters } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo } from "@ospreyreel/types";
import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { createConnection, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { TcpPeerHubOptions } from "./tcp-peer-hub-options.js";
import { createTcpPeerHub, type TcpPeerHub } from "./tcp-peer-hub.js";

const HOST = "127.0.0.1";
const POLL_MS = 5;

/** Creates the info of an instance of a test. */
export const createInfo = (change: Partial<InstanceInfo> = {}): InstanceInfo => ({
    instance: "a",
    incarnation: `${change.instance ?? "a"}-1`,
    availabilityZone: "ahd-hall",
    region: "guj-west",
    caller: { host: HOST, port: 1 },
    peer: { host: HOST, port: 0 },
    state: "live",
    configRevision: 0,
    ...change,
});

/** Starts a hub on a free port, closed with the test. */
export const startHub = async (
    t: ExecutionContext,
    self: Partial<InstanceInfo>,
    opts: Partial<TcpPeerHubOptions> = {},
): Promise<TcpPeerHub> => {
    const hub = await createTcpPeerHub({
        self: createInfo(self),
        listen: { host: HOST, port: 0 },
        sharedKey: "key of the tests",
        heartbeatMs: 20,
        peerTimeoutMs: 60_000,
        counters: new Counters(),
        ...opts,
    });
    t.teardown(() => hub.close());
    return hub;
};

/** Waits until the condition holds; the test's own timeout bounds it. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await sleep(POLL_MS);
    }
};

/** Waits until each hub has all the others as members. */
export const waitUntilJoined = (...hubs: readonly TcpPeerHub[]): Promise<void> =>
    waitUntil(() => hubs.every(hub => hub.peers().length === hubs.length - 1));

/** Opens a raw connection to a hub, destroyed with the test. */
export const connectRaw = async (t: ExecutionContext, hub: TcpPeerHub): Promise<Socket> => {
    const socket = createConnection(hub.self().peer);
    t.teardown(() => socket.destroy());
    socket.on("error", () => undefined);
    await once(socket, "connect");
    return socket;
};

/** A TCP relay whose connections a test can destroy or pause. */
export interface Relay {
    readonly address: Address;
    readonly destroyConnections: () => void;
    /** Stops forwarding bytes, and keeps the connections open. */
    readonly pause: () => void;
}

/** Starts a relay to a hub, closed with the test. */
export const startRelay = async (t: ExecutionContext, to: Address): Promise<Relay> => {
    const sockets = new Set<Socket>();
    const server = createServer(near => {
        const far = createConnection(to);
        for (const [from, into] of [[near, far], [far, near]] as const) {
            sockets.add(from);
            from.on("error", () => into.destroy());
            from.on("close", () => into.destroy());
            from.pipe(into);
        }
    });
    server.listen(0, HOST);
    await once(server, "listening");
    const destroyConnections = (): void => sockets.forEach(socket => socket.destroy());
    t.teardown(() => {
        destroyConnections();
        server.close();
    });
    const bound = server.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : 0;
    return {
        address: { host: HOST, port },
        destroyConnections,
        pause: () => sockets.forEach(socket => socket.unpipe()),
    };
};
