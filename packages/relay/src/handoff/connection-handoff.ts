import { connect, type MembershipChange, type PeerHub } from "@ospreyreel/peer";
import type { Address, HandoffStop, InstanceInfo } from "@ospreyreel/types";
import type { Socket } from "node:net";
import type { RequestHead } from "../http/caller-protocol.js";
import { MAX_REQUEST_BYTES, MessageMemory } from "../message-memory.js";
import { chooseHelpers } from "../policy/choose-helpers.js";
import { HandoffPolicy } from "../policy/handoff-policy.js";
import { HelperReach } from "../policy/helper-reach.js";
import type { StopWindow } from "../policy/stop-window.js";
import type { RelayLog } from "../relay-log.js";
import { EventLoopLoad } from "./event-loop-load.js";
import { HandedOffConnection, type HandoffEnd, type RequestTerms, type ServeHere } from "./handed-off-connection.js";

/** Options of {@link ConnectionHandoff}. */
export interface ConnectionHandoffOptions {
    readonly hub: PeerHub;
    /** Version of the active desired state; 0 before the first one. */
    readonly getVersion: () => number;
    /** Number of requests that this instance has read itself. */
    readonly getOwnRequests: () => number;
    /** Finds what holds for a request by its head; undefined where that is not known. */
    readonly getTerms: (head: RequestHead) => RequestTerms | undefined;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Called when a request begins that a helper serves, and when it ends. */
    readonly onExchange?: (caller: Socket, change: 1 | -1) => void;
    /** Maximum size of all open requests that are held for the case that their helper is lost, in bytes; half of that of this instance's by default. */
    readonly maxHeldBytes?: number;
    /** Decides when connections are handed off; a {@link HandoffPolicy} by default. */
    readonly policy?: Pick<HandoffPolicy, "isHandingOff" | "mayHelp" | "recordSample">;
    /** Idle share of the event loop since the last call; measured by default. */
    readonly takeIdleShare?: () => number;
    /** Opens a connection to a helper; {@link connect} by default. */
    readonly connect?: typeof connect;
}

/** Time between two samples of the load, in milliseconds. */
const SAMPLE_INTERVAL_MS = 200;

/** Time between two requests that renew a helper's ticket, in milliseconds. */
const RENEW_INTERVAL_MS = 500;

/** Timeout of a request to a helper, in milliseconds: some round trips and a burst on a slow link. */
const HELPER_TIMEOUT_MS = 700;

/** Timeout of a connection to a helper, in milliseconds; the caller is served here where it passes. */
const CONNECT_TIMEOUT_MS = 300;

/** Maximum number of peers that are asked to help, one after the other. */
const MAX_ASKED = 4;

/** Time after which peers are asked again where none would help, in milliseconds. */
const SEARCH_INTERVAL_MS = 1_000;

/** A peer that serves connections of this instance's callers. */
interface Helper {
    readonly info: InstanceInfo;
    /** The callers' connections that it serves; undefined while the one to the helper is opened. */
    readonly callers: Map<Socket, HandedOffConnection | undefined>;
    readonly reach: HelperReach;
    address: Address;
    ticket: Uint8Array;
    /** Whether it counts as lost. */
    isLost: boolean;
    /** Requests that it has served for this instance. */
    requests: number;
}

/** What a peer answers that is asked to help, and why. */
interface HelperAnswer {
    readonly kind: "accepted" | "refused" | "silent";
    readonly cause: string;
}

/** Counters of how connections stop being served by helpers. */
const END_COUNTERS: Readonly<Record<HandoffEnd, string | undefined>> = {
    closed: undefined,
    returned: "handed_off_connections_returned",
    interrupted: "handed_off_requests_interrupted",
    cut: "handed_off_responses_cut",
};

/** Connections that an overloaded instance hands off. */
export interface HandoffView {
    /** Instance that gets new connections; undefined where none does. */
    readonly helper: string | undefined;
    /** Open connections by the instance that serves them. */
    readonly connections: Readonly<Record<string, number>>;
    /** Newest version of the desired state with which a helper may have served; 0 where none has. */
    readonly servedVersion: number;
}

/**
 * Hands callers' connections off to a larger peer while this instance has more requests than it can serve. The peer does all work
 * for them; this instance copies their bytes, and serves them again once the load has fallen or the peer is gone.
 */
export class ConnectionHandoff {
    private readonly helpers = new Map<string, Helper>();
    private readonly policy: Pick<HandoffPolicy, "isHandingOff" | "mayHelp" | "recordSample">;
    private readonly takeIdleShare: () => number;
    private readonly stopping = new AbortController();
    private readonly memory: MessageMemory;
    private current: Helper | undefined;
    private stopWindow: StopWindow | undefined;
    private isSearching = false;
    private searchAgainAtMs = 0;
    private newestServed = 0;
    private handedOff = 0;
    private lastOwnRequests = 0;

    constructor(private readonly opts: ConnectionHandoffOptions) {
        this.policy = opts.policy ?? new HandoffPolicy();
        this.memory = new MessageMemory(opts.maxHeldBytes ?? MAX_REQUEST_BYTES / 2);
        const load = new EventLoopLoad();
        this.takeIdleShare = opts.takeIdleShare ?? (() => load.takeIdleShare());
    }

    /** Starts measuring the load, until {@link stop}; does not keep the process alive. */
    start(): void {
        const timers = [
            setInterval(() => this.sample(), SAMPLE_INTERVAL_MS).unref(),
            setInterval(() => this.renewAll(), RENEW_INTERVAL_MS).unref(),
        ];
        this.stopping.signal.addEventListener("abort", () => clearInterval(timers[0]), { once: true });
        void this.opts.hub.changes().observe(change => this.handleChange(change));
    }

    /** Hands no further connection off; those that peers serve stay open until the end of the window, of which they are told. */
    stop(window?: StopWindow): void {
        this.stopping.abort();
        this.current = undefined;
        this.stopWindow = window;
        this.renewAll();
    }

    /** Whether this instance has time for the callers of another one; one that it serves already is given up later. */
    mayHelp(isHelping: boolean): boolean {
        return this.policy.mayHelp(isHelping);
    }

    /** Whether new connections are handed off, so that a caller is better off with a new one. */
    get isActive(): boolean {
        return this.current !== undefined;
    }

    /** Number of open connections that peers serve. */
    get openConnections(): number {
        return [...this.helpers.values()].reduce((sum, { callers }) => sum + callers.size, 0);
    }

    /** Newest version of the desired state with which a peer may have served this instance's callers; 0 where none has. */
    get servedVersion(): number {
        return this.newestServed;
    }

    /** Bytes of open requests that helpers serve. */
    get heldBytes(): number {
        return this.memory.heldBytes;
    }

    /** For the state dump. */
    get view(): HandoffView {
        return {
            helper: this.current?.info.instance,
            connections: Object.fromEntries(
                [...this.helpers.values()].map(({ info, callers }) => [info.instance, callers.size]),
            ),
            servedVersion: this.newestServed,
        };
    }

    /** Hands a caller's new connection off if one is to be; `serveHere` serves it where the helper does not, or no longer. */
    handOff(caller: Socket, serveHere: ServeHere): boolean {
        const { current } = this;
        if (current === undefined) {
            return false;
        }
        void this.connect(current, caller, serveHere);
        return true;
    }

    /** Ends the connections that peers still serve; requests without a response are answered here. */
    closeAll(): void {
        this.helpers.forEach(({ callers }) =>
            callers.forEach((connection, caller) => connection === undefined ? caller.destroy() : connection.giveUp())
        );
    }

    private async connect(helper: Helper, caller: Socket, serveHere: ServeHere): Promise<void> {
        const ignoreError = (): void => undefined;
        caller.on("error", ignoreError);
        helper.callers.set(caller, undefined);
        const begunAtMs = performance.now();
        try {
            const { connect: open = connect } = this.opts;
            const socket = await open(helper.address, CONNECT_TIMEOUT_MS, this.stopping.signal);
            helper.reach.recordReached();
            if (caller.destroyed) {
                socket.destroy();
                this.forget(helper, caller);
                return;
            }
            if (helper.isLost) {
                socket.destroy();
                throw new Error("it was lost");
            }
            socket.setNoDelay(true);
            socket.write(helper.ticket);
            this.opts.count("connections_handed_off");
            helper.callers.set(
                caller,
                new HandedOffConnection({
                    caller,
                    helper: socket,
                    getTerms: this.opts.getTerms,
                    confirmEnd: () => this.renew(helper),
                    serveHere,
                    memory: this.memory,
                    onExchange: change => this.opts.onExchange?.(caller, change),
                    onNotHeld: () => this.opts.count("handed_off_requests_not_held"),
                    isStopping: () => this.stopping.signal.aborted,
                    onEnd: end => this.recordEnd(helper, caller, end),
                }),
            );
        }
        catch (err) {
            // Nothing of the caller's has been read yet.
            this.forget(helper, caller);
            const isLate = !helper.isLost && wasLate(err);
            if (isLate) {
                this.opts.count("handed_off_connections_late");
            }
            if (helper.reach.recordFailed({ begunAtMs, failedAtMs: performance.now(), isLate })) {
                this.drop(helper, `the peer accepts no connection: ${String(err)}`);
            }
            if (!caller.destroyed) {
                serveHere();
            }
        }
        finally {
            caller.off("error", ignoreError);
        }
    }

    private recordEnd(helper: Helper, caller: Socket, end: HandoffEnd): void {
        this.forget(helper, caller);
        const counter = END_COUNTERS[end];
        if (counter !== undefined) {
            this.opts.count(counter);
        }
    }

    private forget(helper: Helper, caller: Socket): void {
        helper.callers.delete(caller);
        if (helper.callers.size === 0 && helper !== this.current) {
            this.helpers.delete(helper.info.incarnation);
        }
    }

    private sample(): void {
        const ownRequests = this.opts.getOwnRequests();
        this.policy.recordSample({
            idleShare: this.takeIdleShare(),
            ownRequests: ownRequests - this.lastOwnRequests,
            handedOff: this.handedOff,
            intervalMs: SAMPLE_INTERVAL_MS,
        });
        this.lastOwnRequests = ownRequests;
        this.handedOff = 0;
        if (!this.policy.isHandingOff) {
            if (this.current !== undefined) {
                const { current } = this;
                this.drop(current, "the load has fallen");
                returnWhenIdle(current);
            }
        }
        else if (this.current === undefined && performance.now() >= this.searchAgainAtMs) {
            void this.findHelper();
        }
    }

    /** Asks peers for help until one agrees. Does not throw. */
    private async findHelper(): Promise<void> {
        if (this.isSearching) {
            return;
        }
        this.isSearching = true;
        const { hub, log } = this.opts;
        const candidates = chooseHelpers({ self: hub.self(), peers: hub.peers(), minVersion: this.minVersion });
        const refusals: string[] = [];
        for (const info of candidates.slice(0, MAX_ASKED)) {
            const helper = this.helpers.get(info.incarnation)
                ?? {
                    info,
                    callers: new Map(),
                    reach: new HelperReach(),
                    address: info.caller,
                    ticket: new Uint8Array(),
                    isLost: false,
                    requests: 0,
                };
            const answer = await this.askOnce(helper);
            if (answer.kind === "accepted" && !this.stopping.signal.aborted) {
                this.helpers.set(info.incarnation, helper);
                this.current = helper;
                helper.reach.recordReached();
                log.write("connections handed off", { helper: info.instance });
                break;
            }
            refusals.push(`${info.instance}: ${answer.cause}`);
        }
        if (this.current === undefined && refusals.length > 0) {
            log.write("connections not taken", { peers: candidates.length, answers: refusals.join("; ") });
        }
        this.searchAgainAtMs = performance.now() + SEARCH_INTERVAL_MS;
        this.isSearching = false;
    }

    private renewAll(): void {
        this.helpers.forEach(helper => void this.renew(helper));
    }

    /** Renews a helper's ticket; resolves whether its process lives. */
    private async renew(helper: Helper): Promise<boolean> {
        const { kind, cause } = await this.askOnce(helper);
        if (kind !== "accepted") {
            this.drop(
                helper,
                kind === "refused" ? `the peer refuses: ${cause}` : `the peer does not respond: ${cause}`,
            );
        }
        return kind !== "silent";
    }

    private async askOnce(helper: Helper): Promise<HelperAnswer> {
        try {
            const req = { version: this.minVersion, stop: this.getStop() };
            const { incarnation } = helper.info;
            const res = await this.opts.hub.request(incarnation, "connections.take", req, HELPER_TIMEOUT_MS);
            if (res.kind === "refused") {
                return res;
            }
            this.handedOff += Math.max(0, res.requests - helper.requests);
            Object.assign(helper, { address: res.address, ticket: res.ticket, requests: res.requests });
            this.recordServed(res.version);
            return { kind: "accepted", cause: "" };
        }
        catch (err) {
            return { kind: "silent", cause: String(err) };
        }
    }

    private getStop(): HandoffStop | undefined {
        if (this.stopWindow === undefined) {
            return undefined;
        }
        const { servesUntilMs, endsAtMs } = this.stopWindow;
        const nowMs = performance.now();
        return { servesForMs: servesUntilMs - nowMs, endsInMs: endsAtMs - nowMs - HELPER_TIMEOUT_MS };
    }

    /** Oldest version with which a helper may serve: no caller gets an older one than it has seen here. */
    private get minVersion(): number {
        return Math.max(this.opts.getVersion(), this.newestServed);
    }

    private recordServed(version: number): void {
        if (version > this.newestServed) {
            this.newestServed = version;
            // Other helpers may serve with an older version.
            this.renewAll();
        }
    }

    private handleChange({ kind, info }: MembershipChange): void {
        const helper = this.helpers.get(info.incarnation);
        if (helper === undefined) {
            return;
        }
        helper.isLost = kind === "lost";
        if (kind === "lost") {
            this.drop(helper, "the peer was lost");
            this.opts.log.write("helper lost", { helper: info.instance, connections: helper.callers.size });
            helper.callers.forEach(connection => connection?.loseHelper());
        }
        else {
            helper.callers.forEach(connection => connection?.regainHelper());
            if (info.state !== "live") {
                this.drop(helper, "the peer leaves");
                returnWhenIdle(helper);
            }
        }
    }

    /** Gives a helper no further connections. */
    private drop(helper: Helper, cause: string): void {
        if (this.current === helper) {
            this.current = undefined;
            this.opts.log.write("connections kept", { helper: helper.info.instance, cause });
        }
        if (helper.callers.size === 0) {
            this.helpers.delete(helper.info.incarnation);
        }
    }
}

/** Whether a connection was not opened in time; one that the other side rejects has another error. */
const wasLate = (err: unknown): boolean => err instanceof Error && err.name === "AbortError";

/** Serves a helper's connections here again, each as soon as it has no request open. */
const returnWhenIdle = ({ callers }: Helper): void => {
    callers.forEach(connection => connection?.returnWhenIdle());
};
