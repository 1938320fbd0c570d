import { type PeerHub, wasNotSent } from "@ospreyreel/peer";
import type { ForwardedBody, ForwardedHead, ForwardedSend, InstanceInfo } from "@ospreyreel/types";
import { ResponseBody } from "../http/response-body.js";
import type { TargetCall, TargetOutcome } from "../targets/target-port.js";
import { getStartKey } from "../targets/target.js";

/** Options of {@link ForwardedCalls}. */
export interface ForwardedCallsOptions {
    readonly hub: PeerHub;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Time beyond the request's own after which a peer's response is not awaited any more, in milliseconds. */
const RESPONSE_MARGIN_MS = 1_000;

const CANCEL_TIMEOUT_MS = 500;

/** Response that a peer passes on. */
interface OpenCall {
    readonly peer: string;
    readonly body: ResponseBody;
    /** Resolves once there is room for more of the body. */
    room: Promise<void>;
}

/** Sends of this instance that peers make for it. */
export class ForwardedCalls {
    private readonly open = new Map<number, OpenCall>();
    private sends = 0;

    constructor(private readonly opts: ForwardedCallsOptions) {}

    /** Starts receiving responses. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("sends.body", async (part, from) => ({ isWanted: await this.receive(part, from) }));
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "lost") {
                this.failAll(info.incarnation);
            }
        });
    }

    /** Sends through a peer; `not_sent` where the peer has not sent it. Does not throw. */
    async send(call: TargetCall, peer: InstanceInfo): Promise<TargetOutcome> {
        this.sends += 1;
        const send = this.sends;
        const opened = this.openCall(send, peer.incarnation);
        const abort = (): void => this.abandon(send, "the request's time has ended");
        call.signal.addEventListener("abort", abort, { once: true });
        const head = await this.request(call, peer, send);
        if (head.kind !== "answer") {
            call.signal.removeEventListener("abort", abort);
            this.open.delete(send);
            return head;
        }
        void this.watch(send, peer, call.leftMs);
        const { status, headers, isFramed, notes } = head;
        // The peer's connection was open before the head arrived here.
        const connectedAtMs = performance.now();
        return { kind: "answer", head: { status, headers, isFramed }, body: opened.body, notes, connectedAtMs };
    }

    private openCall(send: number, peer: string): OpenCall {
        let resume = (): void => undefined;
        const call: OpenCall = {
            peer,
            room: Promise.resolve(),
            body: new ResponseBody({
                pause: () => {
                    call.room = new Promise(resolve => {
                        resume = resolve;
                    });
                },
                resume: () => resume(),
                abandon: () => this.abandon(send, "the response is not read further"),
            }),
        };
        this.open.set(send, call);
        return call;
    }

    private async request(
        call: TargetCall,
        { incarnation, instance }: InstanceInfo,
        send: number,
    ): Promise<ForwardedHead> {
        const aborted = new Promise<ForwardedHead>(resolve => {
            const onAbort = (): void => resolve({ kind: "failed", cause: "the request's time has ended" });
            call.signal.addEventListener("abort", onAbort, { once: true });
        });
        try {
            return await Promise.race([
                aborted,
                this.opts.hub.request(
                    incarnation,
                    "sends.forward",
                    encode(call, send),
                    call.leftMs + RESPONSE_MARGIN_MS,
                ),
            ]);
        }
        catch (err) {
            this.opts.count("sends_forwarded_failed");
            // A peer that was reached may have sent it.
            return { kind: wasNotSent(err) ? "not_sent" : "failed", cause: `forwarded by ${instance}: ${String(err)}` };
        }
    }

    /** Ends a response whose peer is lost or gave it up, without waiting until the peer counts as lost. Does not throw. */
    private async watch(send: number, { incarnation }: InstanceInfo, leftMs: number): Promise<void> {
        try {
            await this.opts.hub.request(incarnation, "sends.watch", { send }, leftMs + RESPONSE_MARGIN_MS);
        }
        catch {
            // Without its link the peer passes nothing on, whatever became of it.
        }
        this.fail(send);
    }

    private async receive({ send, chunk, end }: ForwardedBody, { incarnation }: InstanceInfo): Promise<boolean> {
        const call = this.open.get(send);
        if (call === undefined || call.peer !== incarnation) {
            return false;
        }
        if (chunk !== undefined) {
            call.body.push(Buffer.from(chunk));
        }
        if (end !== undefined) {
            this.open.delete(send);
            if (end.cause === undefined) {
                call.body.end();
            }
            else {
                call.body.fail(new Error(end.cause));
            }
            return false;
        }
        await call.room;
        return this.open.has(send);
    }

    private abandon(send: number, cause: string): void {
        const call = this.open.get(send);
        if (call === undefined) {
            return;
        }
        this.open.delete(send);
        call.body.fail(new Error(cause));
        // A peer that is not reached ends the send at its deadline, or when it loses this instance.
        this.opts.hub.request(call.peer, "sends.cancel", { send }, CANCEL_TIMEOUT_MS).catch(() => undefined);
    }

    private failAll(peer: string): void {
        [...this.open].filter(([, call]) => call.peer === peer).forEach(([send]) => this.fail(send));
    }

    private fail(send: number): void {
        const call = this.open.get(send);
        this.open.delete(send);
        call?.body.fail(new Error("the peer that forwards the response was lost"));
    }
}

const encode = (
    { req, target, team, leftMs, urgency, afterEvent, isRepeatable }: TargetCall,
    send: number,
): ForwardedSend => ({
    send,
    target: getStartKey(target),
    id: req.id,
    host: req.host,
    method: req.method,
    path: req.path,
    headers: req.headers,
    body: req.body,
    team,
    leftMs,
    urgency,
    afterEvent,
    isRepeatable,
});
