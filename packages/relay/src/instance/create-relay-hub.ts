import { createTcpPeerHub, type TcpPeerHub } from "@ospreyreel/peer";
import { Counters } from "@ospreyreel/telemetry";
import { randomUUID } from "node:crypto";
import { parseAddress } from "./instance-addresses.js";
import type { RelaySettings } from "./relay-settings.js";

/** Time between two heartbeats to peers, in milliseconds. */
const HEARTBEAT_MS = 400;

/** Time without a message after which a peer counts as lost, in milliseconds: three heartbeats and a delayed timer. */
const PEER_TIMEOUT_MS = 1_500;

/** Starts listening for peers; the instance announces itself as leaving until it accepts requests. */
export const createRelayHub = async (cfg: RelaySettings): Promise<TcpPeerHub> =>
    await createTcpPeerHub({
        self: {
            instance: cfg.instance,
            incarnation: randomUUID(),
            availabilityZone: cfg.availabilityZone,
            region: cfg.region,
            caller: parseAddress(cfg.callers),
            peer: parseAddress(cfg.peer),
            state: "leaving",
            configRevision: 0,
            cores: cfg.processor.cores * cfg.processor.share,
        },
        listen: parseAddress(cfg.peer),
        sharedKey: cfg.sharedKey,
        heartbeatMs: HEARTBEAT_MS,
        peerTimeoutMs: PEER_TIMEOUT_MS,
        counters: new Counters(),
    });
