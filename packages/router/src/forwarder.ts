import { OspreyError } from "@ospreyreel/errors";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import type { CallerRequest } from "./caller-server.js";
import { FORWARDED_HEADER, type ForwardFailure, forwardRequest } from "./forward-request.js";
import { ForwardSignature, getSignedHeaders } from "./forward-signature.js";

/** Options of {@link Forwarder}. */
export interface ForwarderOptions {
    readonly hub: Pick<PeerHub, "self" | "peers">;
    /** Key shared by all instances of the fleet. */
    readonly sharedKey: string;
    readonly counters: Counters;
}

/** Forwards requests to other instances, and verifies which requests were forwarded by other instances. */
export class Forwarder {
    private readonly signature: ForwardSignature;

    constructor(private readonly opts: ForwarderOptions) {
        this.signature = new ForwardSignature(opts.sharedKey);
    }

    /** Whether another instance forwarded the request; an invalid header is ignored and counted. */
    isForwarded({ req, path, query, body }: CallerRequest): boolean {
        const value = req.headers[FORWARDED_HEADER];
        if (value === undefined) {
            return false;
        }
        const signed = {
            to: this.opts.hub.self().incarnation,
            method: req.method ?? "",
            path: path + query,
            headers: getSignedHeaders(req),
            body,
        };
        const forwarded = this.signature.verify(signed, String(value));
        if (!forwarded) {
            this.opts.counters.add("forward_headers_refused");
        }
        return forwarded;
    }

    /** Forwards a request and returns its response; throws as {@link forwardRequest} does. */
    async forward(call: CallerRequest, to: Address, failure: ForwardFailure): Promise<void> {
        const { req, res, body } = call;
        const incarnation = this.findIncarnation(to);
        const { signature } = this;
        await forwardRequest({ req, res, path: call.path + call.query, body, to, incarnation, signature, failure });
    }

    private findIncarnation(to: Address): string {
        const peer = this.opts.hub.peers().find(({ caller }) => caller.host === to.host && caller.port === to.port);
        if (peer === undefined) {
            throw new OspreyError("the other instance has left", { result: "peerUnavailable" });
        }
        return peer.incarnation;
    }
}
