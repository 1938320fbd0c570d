import { FrameError, requestNotSent } from "./errors.js";
import type { LinkOptions } from "./link-options.js";
import { decodeMessage, encodeMessage } from "./message-codec.js";
import type {
    DigestMessage,
    HeartbeatMessage,
    LinkMessage,
    MemberRecord,
    Message,
    RequestMessage,
} from "./messages.js";
import { PendingRequests } from "./pending-requests.js";

/** Maximum unsent bytes for a slow peer, as a multiple of the largest frame. */
const MAX_UNSENT_FRAMES = 4;

/** Longest error message of a handler that is returned to the peer, in characters. */
const MAX_FAILURE_CHARS = 1_000;

/** One authenticated connection to a peer. */
export class Link {
    /** Whether this side opened the connection. */
    readonly dialled: boolean;
    private readonly opts: LinkOptions;
    private readonly pending = new PendingRequests();
    private record: MemberRecord;
    private lastUsedAtMs = performance.now();
    private isDraining = false;
    private isDrainedLocally = false;
    private isDrainedByPeer = false;
    private open = true;

    constructor(opts: LinkOptions) {
        this.opts = opts;
        this.dialled = opts.dialled;
        this.record = opts.remote;
        opts.channel.setMaxFrameBytes(opts.maxFrameBytes);
    }

    /** Latest record that the peer sent of itself. */
    get remote(): MemberRecord {
        return this.record;
    }

    /** Whether the connection is open; a lost connection may not be detected yet. */
    get isOpen(): boolean {
        return this.open;
    }

    /** Whether new requests may be sent on it. */
    get isUsable(): boolean {
        return this.open && !this.isDraining;
    }

    /** Whether it was closed gracefully as no longer used; the peer is still running. */
    get isDrained(): boolean {
        return this.isDrainedLocally && this.isDrainedByPeer;
    }

    /** Time without requests of either side, in milliseconds; 0 while a request of this side is pending. */
    get idleMs(): number {
        return this.pending.size > 0 ? 0 : performance.now() - this.lastUsedAtMs;
    }

    /** Reads until the connection ends; then pending requests fail. Throws nothing. */
    async run(): Promise<void> {
        try {
            for await (const body of this.opts.channel.frames) {
                this.opts.events.onFrame(this);
                this.receive(decodeMessage(body));
            }
        }
        catch (err) {
            if (err instanceof FrameError) {
                this.opts.counters.add("peer_frame_errors");
            }
        }
        this.destroy("the link was lost");
    }

    /** Sends a request and waits for the reply; throws `peerUnavailable`. */
    async request(name: string, body: unknown, timeoutMs: number): Promise<unknown> {
        if (!this.isUsable) {
            throw requestNotSent("the link is closing");
        }
        this.lastUsedAtMs = performance.now();
        const to = this.record.info.incarnation;
        try {
            return await this.pending.add(id => this.send({ kind: "request", id, to, name, body }), timeoutMs);
        }
        finally {
            this.closeIfDrained();
        }
    }

    /** Sends a heartbeat. */
    sendHeartbeat(message: HeartbeatMessage): void {
        if (this.isUsable) {
            this.send(message);
        }
    }

    /** Sends a digest of the records that this instance knows. */
    sendDigest(message: DigestMessage): void {
        if (this.isUsable) {
            this.send(message);
        }
    }

    /** Closes the link once the requests of both sides have their replies. */
    drain(): void {
        if (this.isUsable) {
            this.isDraining = true;
            this.send({ kind: "drain" });
            this.closeIfDrained();
        }
    }

    /** Notifies the peer that this instance stops, and closes. */
    goodbye(): void {
        this.send({ kind: "goodbye" });
        this.close("this instance is stopping");
    }

    /** Closes after queued messages are sent; pending requests fail. */
    close(reason: string): void {
        this.stop(reason);
        this.opts.channel.end();
    }

    /** Destroys the connection; pending requests fail. */
    destroy(reason: string): void {
        this.stop(reason);
        this.opts.channel.destroy();
    }

    private stop(reason: string): void {
        this.open = false;
        this.pending.failAll(reason);
    }

    private send(message: Message): void {
        const { channel, maxFrameBytes } = this.opts;
        const body = encodeMessage(message);
        if (body.length > maxFrameBytes) {
            throw new FrameError(`message of ${body.length} bytes, allowed are ${maxFrameBytes}`);
        }
        channel.send(body);
        if (channel.unsentBytes > MAX_UNSENT_FRAMES * maxFrameBytes) {
            this.destroy("the peer reads too slowly");
        }
    }

    private receive(message: Message): void {
        if (message.kind === "hello" || message.kind === "proof") {
            throw new FrameError(`unexpected message: ${message.kind}`);
        }
        this.dispatch(message);
    }

    private dispatch(message: LinkMessage): void {
        const { events } = this.opts;
        switch (message.kind) {
            case "request":
                void this.handleRequest(message);
                return;
            case "reply":
                return this.countUnknownReply(this.pending.resolve(message.id, message.body));
            case "failure":
                return this.countUnknownReply(this.pending.fail(message.id, message.message));
            case "heartbeat":
                return this.receiveHeartbeat(message);
            case "digest":
                return events.onDigest(this, message);
            case "drain":
                this.isDraining = true;
                return this.closeIfDrained();
            case "drained":
                this.isDrainedByPeer = true;
                return this.closeIfDrained();
            case "goodbye":
                return events.onGoodbye(this);
        }
    }

    private async handleRequest(req: RequestMessage): Promise<void> {
        this.lastUsedAtMs = performance.now();
        try {
            const body = await this.opts.events.handleRequest(this, req);
            this.send({ kind: "reply", id: req.id, body });
        }
        catch (err) {
            const message = err instanceof Error ? err.message : String(err);
            this.send({ kind: "failure", id: req.id, message: message.slice(0, MAX_FAILURE_CHARS) });
        }
    }

    private countUnknownReply(known: boolean): void {
        if (!known) {
            this.opts.counters.add("peer_unknown_replies");
        }
    }

    private receiveHeartbeat(message: HeartbeatMessage): void {
        const { member, configRevision, records, suspicions } = message;
        if (member !== undefined) {
            this.updateRecord(member);
        }
        if (configRevision !== undefined) {
            this.updateRecord({ ...this.record, info: { ...this.record.info, configRevision } });
        }
        if (records !== undefined || suspicions !== undefined) {
            this.opts.events.onGossip(this, message);
        }
    }

    private updateRecord(record: MemberRecord): void {
        const replaced = record.info.incarnation !== this.record.info.incarnation;
        this.record = record;
        if (replaced) {
            this.pending.failAll("the peer has a new incarnation");
        }
        if (!this.opts.events.onRecord(this, record)) {
            this.close("a newer incarnation has replaced the peer");
        }
    }

    /** Each side reports when its own requests have their replies, so that closing loses none of either side. */
    private closeIfDrained(): void {
        if (!this.open || !this.isDraining || this.pending.size > 0) {
            return;
        }
        if (!this.isDrainedLocally) {
            this.isDrainedLocally = true;
            this.send({ kind: "drained" });
        }
        if (this.isDrainedByPeer) {
            this.close("the link is drained");
        }
    }
}
