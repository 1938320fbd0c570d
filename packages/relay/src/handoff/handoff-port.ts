import type { PeerHub } from "@ospreyreel/peer";
import type { Address, HandoffRequest, HandoffResponse, HandoffStop, InstanceInfo } from "@ospreyreel/types";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { AcceptedConnection, ConnectionOrigin } from "../http/accepted-connection.js";
import { StopWindow } from "../policy/stop-window.js";
import type { RelayLog } from "../relay-log.js";
import { createTicket, readTicket } from "./handoff-preamble.js";

/** Options of {@link HandoffPort}. */
export interface HandoffPortOptions {
    readonly hub: PeerHub;
    /** Where peers connect. */
    readonly listen: Address;
    /** Oldest version of the desired state from a version on by which requests can be decided; an older one if there is none. */
    readonly findVersion: (from: number) => number;
    /** Why this instance takes no connections now, of a peer that it serves already or another one; undefined where it does. */
    readonly getRefusal: (isHelping: boolean) => string | undefined;
    /** Serves a caller's connection. */
    readonly accept: (socket: Socket, origin: ConnectionOrigin) => AcceptedConnection;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Time within which the ticket arrives on a new connection, in milliseconds. */
const TICKET_TIMEOUT_MS = 1_000;

/** Time without a request after which a connection is closed when its instance or this one leaves, or is lost, in milliseconds. */
const LEAVING_IDLE_MS = 1_000;

/** Time for which the ticket of a lost peer is accepted, in milliseconds; one that lives learns of the loss by then. */
const LOST_TICKET_MS = 5_000;

/** Interval of the checks for such connections, in milliseconds. */
const IDLE_CHECK_MS = 250;

/** A peer whose callers' connections this instance serves. */
class Origin implements ConnectionOrigin {
    readonly ticket = createTicket();
    readonly connections = new Map<Socket, AcceptedConnection>();
    requests = 0;
    isLeaving = false;
    /** Monotonic time since which the peer counts as lost, in milliseconds; it may live, and hand connections off until it knows. */
    lostAtMs: number | undefined;
    minVersion = 0;
    stopWindow: StopWindow | undefined;

    constructor(readonly instance: string) {}

    recordRequest(): void {
        this.requests += 1;
    }

    stopBy({ servesForMs, endsInMs }: HandoffStop): void {
        const nowMs = performance.now();
        this.isLeaving = true;
        this.stopWindow ??= new StopWindow({ servesUntilMs: nowMs + servesForMs, endsAtMs: nowMs + endsInMs });
    }
}

/** Connections of peers' callers that an instance serves, by instance. */
export type TakenConnections = Readonly<Record<string, number>>;

/** Takes callers' connections over from peers that have more requests than they can serve. */
export class HandoffPort {
    private readonly server: Server;
    private readonly origins = new Map<string, Origin>();
    private isLeaving = false;

    constructor(private readonly opts: HandoffPortOptions) {
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => void this.receive(socket));
    }

    /** Starts listening and responding to peers; throws if listening on the address fails. */
    async start(): Promise<void> {
        const { hub, listen } = this.opts;
        this.server.listen(listen.port, listen.host);
        await once(this.server, "listening");
        hub.handle("connections.take", (req, from) => Promise.resolve(this.agree(req, from)));
        void hub.changes().observe(({ kind, info }) => {
            const origin = this.origins.get(info.incarnation);
            if (origin === undefined) {
                return;
            }
            if (kind === "lost") {
                // Requests that run are answered; a process that has ended closes its connections itself.
                origin.lostAtMs ??= performance.now();
            }
            else {
                origin.lostAtMs = undefined;
                origin.minVersion = Math.max(origin.minVersion, info.configRevision);
                origin.isLeaving = info.state !== "live";
            }
        });
        setInterval(() => this.closeIdle(), IDLE_CHECK_MS).unref();
    }

    /** For the state dump. */
    get view(): TakenConnections {
        return Object.fromEntries(
            [...this.origins.values()].map(({ instance, connections }) => [instance, connections.size]),
        );
    }

    /** Starts closing the connections that bring no request, since their callers learn nothing of this instance's stop. */
    leave(): void {
        this.isLeaving = true;
    }

    /** Stops listening; the connections are closed by the port that serves them. */
    close(): void {
        this.server.close();
    }

    private agree(
        { version, stop }: HandoffRequest,
        { incarnation, instance, configRevision }: InstanceInfo,
    ): HandoffResponse {
        const known = this.origins.get(incarnation);
        const origin = known ?? new Origin(instance);
        origin.lostAtMs = undefined;
        if (stop !== undefined) {
            origin.stopBy(stop);
        }
        origin.minVersion = Math.max(origin.minVersion, version, configRevision);
        const decidedBy = this.opts.findVersion(origin.minVersion);
        const cause = decidedBy < origin.minVersion
            ? "the peer's desired state is older"
            : this.opts.getRefusal((known?.connections.size ?? 0) > 0);
        if (cause !== undefined) {
            return { kind: "refused", cause };
        }
        if (known === undefined) {
            this.origins.set(incarnation, origin);
            this.opts.log.write("connections of a peer taken", { peer: instance });
        }
        const { port } = this.server.address() as AddressInfo;
        return {
            kind: "accepted",
            address: { host: this.opts.listen.host, port },
            ticket: origin.ticket,
            version: decidedBy,
            requests: origin.requests,
        };
    }

    private async receive(socket: Socket): Promise<void> {
        socket.on("error", () => undefined);
        const ticket = await readTicket(socket, TICKET_TIMEOUT_MS);
        const origin = [...this.origins.values()].find(it => ticket !== undefined && it.ticket.equals(ticket));
        if (origin === undefined) {
            this.opts.count("connections_rejected");
            socket.destroy();
            return;
        }
        this.opts.count("connections_taken");
        origin.connections.set(socket, this.opts.accept(socket, origin));
        socket.once("close", () => origin.connections.delete(socket));
        socket.resume();
    }

    private closeIdle(): void {
        for (const [incarnation, origin] of this.origins) {
            const { connections, lostAtMs } = origin;
            if (this.isLeaving || origin.isLeaving || lostAtMs !== undefined) {
                [...connections].filter(([, { idleMs }]) => idleMs >= LEAVING_IDLE_MS)
                    .forEach(([socket]) => socket.destroySoon());
            }
            if (lostAtMs !== undefined && connections.size === 0 && performance.now() - lostAtMs >= LOST_TICKET_MS) {
                this.origins.delete(incarnation);
            }
        }
    }
}
