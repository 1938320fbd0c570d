import { createHash } from "node:crypto";
import { getSharedParts, type RelayRequest } from "../relay-request.js";

/** Distinguishes a request as a whole from the parts of prompts. */
const WHOLE_PREFIX = "request:";

/** Length of a request's digest, in hexadecimal digits. */
const DIGEST_LENGTH = 32;

/** Distinguishes what is accused of crashes after the first event of an answer. */
const BEGUN_PREFIX = "begun:";

/**
 * Name under which a part is accused of crashes after the first event of an answer. They are kept apart, since an answer that begins
 * refutes only the others.
 */
export const toBegunPart = (part: string): string => BEGUN_PREFIX + part;

/** Whether a name is one for crashes after the first event. */
export const isBegunPart = (part: string): boolean => part.startsWith(BEGUN_PREFIX);

/** Whether a watched part is a request as a whole. */
export const isWholeRequest = (part: string): boolean =>
    part.startsWith(WHOLE_PREFIX) || part.startsWith(BEGUN_PREFIX + WHOLE_PREFIX);

/** What of a request may crash targets: the parts of its prompt that other requests may have too, and the request as a whole. */
export class WatchedRequest {
    private digest: string | undefined;

    constructor(readonly req: RelayRequest, private readonly team: string | undefined) {}

    /** The shared parts of the prompt. */
    get sharedParts(): readonly string[] {
        return getSharedParts(this.req);
    }

    /** The same for each request with this method, host, path, team, shared parts and body; computed on first use. */
    get whole(): string {
        this.digest ??= this.computeDigest();
        return WHOLE_PREFIX + this.digest;
    }

    private computeDigest(): string {
        const { method, host, path, body } = this.req;
        const head = JSON.stringify([method, host, path, this.team ?? "", ...this.sharedParts]);
        return createHash("sha256").update(head).update(body).digest("hex").slice(0, DIGEST_LENGTH);
    }
}

/** Why a request is refused that has a part under quarantine. */
export const getQuarantineReason = (part: string): "partQuarantined" | "requestQuarantined" =>
    isWholeRequest(part) ? "requestQuarantined" : "partQuarantined";
