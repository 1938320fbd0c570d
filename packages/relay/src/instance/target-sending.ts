import type { PeerHub } from "@ospreyreel/peer";
import { HttpTargetPort } from "../http/http-target-port.js";
import { CheckedResponseEnds } from "../http/response-ends.js";
import type { TargetProtocol } from "../http/target-protocol.js";
import { ForwardedSends } from "../paths/forwarded-sends.js";
import { ForwardingTargetPort } from "../paths/forwarding-target-port.js";
import { TargetPaths } from "../paths/target-paths.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import { TargetNoteRecorder } from "../targets/target-note-recorder.js";
import type { Target } from "../targets/target.js";

/** Options of {@link TargetSending}. */
export interface TargetSendingOptions {
    readonly protocol: TargetProtocol;
    readonly hub: PeerHub;
    readonly directory: TargetDirectory;
    /** Called when a target has said in a response that it leaves. */
    readonly onLeaving: (target: Target) => void;
    /** Whether this instance may send for peers. */
    readonly isAccepting: () => boolean;
    /** Maximum number of this instance's connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Whether anything may be sent to a target for a peer at the moment; always by default. */
    readonly isSendAllowed?: (target: Target) => boolean;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Sends of one instance to targets: its own, those that peers make for it, and those that it makes for peers. */
export class TargetSending {
    readonly paths: TargetPaths;
    readonly port: ForwardingTargetPort;
    readonly forwardedSends: ForwardedSends;

    constructor(opts: TargetSendingOptions) {
        const direct = new HttpTargetPort(opts.protocol, new CheckedResponseEnds(opts));
        this.paths = new TargetPaths(opts);
        const { paths } = this;
        const notes = new TargetNoteRecorder(opts);
        this.port = new ForwardingTargetPort({ ...opts, direct, paths, notes });
        this.forwardedSends = new ForwardedSends({ ...opts, direct, paths, notes });
    }

    /** Starts responding to peers. */
    serve(): void {
        this.paths.serve();
        this.port.serve();
        this.forwardedSends.serve();
    }
}
