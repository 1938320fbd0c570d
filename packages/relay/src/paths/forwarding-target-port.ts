import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import type { TargetNoteRecorder } from "../targets/target-note-recorder.js";
import { type TargetCall, type TargetOutcome, TargetPort } from "../targets/target-port.js";
import type { Target } from "../targets/target.js";
import { ForwardedCalls } from "./forwarded-calls.js";
import { SilenceWatch } from "./silence-watch.js";
import type { TargetPaths } from "./target-paths.js";

/** Options of {@link ForwardingTargetPort}. */
export interface ForwardingTargetPortOptions {
    /** Sends on connections of this instance. */
    readonly direct: TargetPort;
    readonly paths: TargetPaths;
    readonly notes: Pick<TargetNoteRecorder, "record">;
    readonly hub: PeerHub;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Maximum number of peers that one send is tried through; none of them has sent it before the next one is. */
const MAX_PEERS = 3;

/** Time after which no further peer is tried, in milliseconds; another target is tried then. */
const MAX_SEARCH_MS = 300;

/** Time after which peers are asked about a target while a connection to it is still being opened, in milliseconds. */
const ASK_AFTER_MS = 100;

/** Sends to targets, through a peer where this instance is disconnected from a target that the peer reaches. */
export class ForwardingTargetPort extends TargetPort {
    private readonly watch: SilenceWatch;
    private readonly forwarded: ForwardedCalls;

    constructor(private readonly opts: ForwardingTargetPortOptions) {
        super();
        this.watch = new SilenceWatch(opts);
        this.forwarded = new ForwardedCalls(opts);
    }

    /** Starts receiving responses from peers, and watching connections. */
    serve(): void {
        this.forwarded.serve();
        this.watch.start();
    }

    override async send(call: TargetCall): Promise<TargetOutcome> {
        const outcome = await this.sendOnEitherPath(call);
        this.opts.notes.record(call.target, outcome);
        return outcome;
    }

    override keepOnly(targets: readonly Target[]): void {
        this.opts.paths.keepOnly(targets);
        this.opts.direct.keepOnly(targets);
    }

    override hasIdleConnection(target: Target, isRepeatable: boolean): boolean {
        return this.opts.direct.hasIdleConnection(target, isRepeatable);
    }

    override async close(): Promise<void> {
        await this.opts.direct.close();
    }

    private async sendOnEitherPath(call: TargetCall): Promise<TargetOutcome> {
        const { paths } = this.opts;
        if (!paths.isDirect(call.target)) {
            return await this.sendThroughPeers(call);
        }
        const outcome = await this.sendDirectly(call);
        const isUnreachable = outcome.kind === "not_sent" && !call.signal.aborted && call.mayStart();
        return isUnreachable && await paths.recordUnreachable(call.target)
            ? await this.sendThroughPeers(call)
            : outcome;
    }

    private async sendDirectly(call: TargetCall): Promise<TargetOutcome> {
        const { direct, paths } = this.opts;
        const { target, signal, isRepeatable } = call;
        const controller = new AbortController();
        const abort = (): void => controller.abort();
        signal.addEventListener("abort", abort, { once: true });
        const exchange = this.watch.begin(target, isRepeatable ? abort : undefined);
        const end = (): void => {
            exchange.end();
            signal.removeEventListener("abort", abort);
        };
        const asking = setTimeout(() => void paths.askPeers(target), ASK_AFTER_MS);
        const mayStart = (): boolean => {
            clearTimeout(asking);
            return call.mayStart();
        };
        const outcome = await direct.send({ ...call, signal: controller.signal, mayStart });
        clearTimeout(asking);
        if (outcome.kind !== "answer") {
            if (outcome.kind === "not_run") {
                exchange.recordResponse();
            }
            end();
            return outcome;
        }
        exchange.recordResponse();
        return { ...outcome, body: watchBody(outcome.body, exchange.recordResponse, end) };
    }

    private async sendThroughPeers(call: TargetCall): Promise<TargetOutcome> {
        const { paths, log, count } = this.opts;
        const tried = new Set<string>();
        const endsAtMs = performance.now() + MAX_SEARCH_MS;
        const isOpen = (): boolean => performance.now() < endsAtMs && !call.signal.aborted && call.mayStart();
        let cause = "no peer reaches the target";
        while (tried.size < MAX_PEERS && isOpen()) {
            const peer = await this.findPeer(call.target, tried);
            if (peer === undefined) {
                break;
            }
            tried.add(peer.incarnation);
            count("sends_forwarded");
            const outcome = await this.forwarded.send(call, peer);
            const fields = { request: call.req.id, target: call.target.id, peer: peer.instance };
            if (outcome.kind !== "not_sent") {
                log.write("send forwarded", { ...fields, outcome: outcome.kind });
                return outcome;
            }
            cause = outcome.cause;
            paths.dropPeer(call.target, peer);
            log.write("send not forwarded", { ...fields, cause });
        }
        return { kind: "not_sent", cause };
    }

    private async findPeer(target: Target, tried: ReadonlySet<string>): Promise<InstanceInfo | undefined> {
        const { paths } = this.opts;
        const known = paths.choosePeer(target, tried);
        if (known !== undefined || !await paths.askPeers(target)) {
            return known;
        }
        return paths.choosePeer(target, tried);
    }
}

/** Passes a body on, and reports its parts and its end. */
const watchBody = async function*(
    body: AsyncIterable<Buffer>,
    onPart: () => void,
    onEnd: () => void,
): AsyncGenerator<Buffer, void, void> {
    try {
        for await (const chunk of body) {
            onPart();
            yield chunk;
        }
    }
    finally {
        onEnd();
    }
};
