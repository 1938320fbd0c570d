import type { Counters } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import type { Socket } from "node:net";
import { connect } from "./connect.js";
import { AuthError, FrameError, peerUnavailable, VersionError } from "./errors.js";
import { FrameChannel } from "./frame-channel.js";
import { handshake, HELLO_MAX_BYTES } from "./handshake.js";
import type { LinkEvents } from "./link-options.js";
import { Link } from "./link.js";
import type { MemberRecord } from "./messages.js";

/** Options of {@link LinkOpener}. */
export interface LinkOpenerOptions {
    readonly sharedKey: string;
    readonly maxFrameBytes: number;
    /** Timeout of the connect, and again of the handshake, in milliseconds. */
    readonly deadlineMs: number;
    readonly counters: Counters;
    readonly events: LinkEvents;
    readonly self: () => MemberRecord;
    /** Whether an authenticated peer may have a link. */
    readonly isAllowed: (remote: MemberRecord) => boolean;
}

/** Turns sockets into authenticated links. */
export class LinkOpener {
    private readonly opts: LinkOpenerOptions;
    private readonly handshaking = new Set<FrameChannel>();
    private closed = false;

    constructor(opts: LinkOpenerOptions) {
        this.opts = opts;
    }

    /** Connects and authenticates; throws where no link could be opened. */
    async dial(address: Address, signal: AbortSignal): Promise<Link> {
        return this.authenticate(await connect(address, this.opts.deadlineMs, signal), true);
    }

    /** Authenticates an accepted socket; throws where no link could be opened. */
    accept(socket: Socket): Promise<Link> {
        return this.authenticate(socket, false);
    }

    /** Destroys the sockets that are not authenticated yet and opens no further links. */
    close(): void {
        this.closed = true;
        this.handshaking.forEach(channel => channel.destroy());
    }

    private async authenticate(socket: Socket, dialled: boolean): Promise<Link> {
        const { counters, sharedKey, deadlineMs, maxFrameBytes, events } = this.opts;
        if (this.closed) {
            socket.destroy();
            throw peerUnavailable("this instance is stopping");
        }
        const channel = new FrameChannel({ socket, maxFrameBytes: HELLO_MAX_BYTES, counters });
        this.handshaking.add(channel);
        try {
            const self = this.opts.self();
            const remote = await handshake({ channel, dialled, self, sharedKey, deadlineMs });
            if (this.closed || !this.opts.isAllowed(remote)) {
                throw peerUnavailable(`${remote.info.instance} was rejected`);
            }
            const link = new Link({ channel, dialled, remote, maxFrameBytes, counters, events });
            if (this.opts.self() !== self) {
                link.sendHeartbeat({ kind: "heartbeat", member: this.opts.self() });
            }
            return link;
        }
        catch (err) {
            this.countFailure(err);
            channel.end();
            throw err;
        }
        finally {
            this.handshaking.delete(channel);
        }
    }

    private countFailure(err: unknown): void {
        const names: readonly (readonly [typeof FrameError, string])[] = [
            [FrameError, "peer_frame_errors"],
            [AuthError, "peer_auth_failures"],
            [VersionError, "peer_version_mismatches"],
        ];
        const name = names.find(([type]) => err instanceof type)?.[1];
        if (name !== undefined) {
            this.opts.counters.add(name);
        }
    }
}
