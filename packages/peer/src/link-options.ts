import type { Counters } from "@ospreyreel/telemetry";
import type { FrameChannel } from "./frame-channel.js";
import type { Link } from "./link.js";
import type { DigestMessage, HeartbeatMessage, MemberRecord, RequestMessage } from "./messages.js";

/** Callbacks of a link to its hub. */
export interface LinkEvents {
    /** A frame was received. */
    readonly onFrame: (link: Link) => void;
    /** The peer's record has changed; false ends the link. */
    readonly onRecord: (link: Link, record: MemberRecord) => boolean;
    /** The peer sent records or suspicions of other instances. */
    readonly onGossip: (link: Link, message: HeartbeatMessage) => void;
    readonly onDigest: (link: Link, message: DigestMessage) => void;
    readonly onGoodbye: (link: Link) => void;
    /** Runs the handler of a request. */
    readonly handleRequest: (link: Link, req: RequestMessage) => Promise<unknown>;
}

/** Options of {@link Link}. */
export interface LinkOptions {
    readonly channel: FrameChannel;
    readonly dialled: boolean;
    readonly remote: MemberRecord;
    readonly maxFrameBytes: number;
    readonly counters: Counters;
    readonly events: LinkEvents;
}
