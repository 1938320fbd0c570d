import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Headers that are forwarded with a request; the signature covers them. */
export const SIGNED_HEADERS = ["authorization", "idempotency-key", "content-type"] as const;

/** Forwarded headers of a request by their lower-case names. */
export type SignedHeaders = Readonly<Partial<Record<typeof SIGNED_HEADERS[number], string>>>;

/** A request as one instance forwards it to another. */
export interface ForwardedRequest {
    /** Incarnation that it is forwarded to. */
    readonly to: string;
    readonly method: string;
    /** Path with query, as parsed. */
    readonly path: string;
    readonly headers: SignedHeaders;
    readonly body: Buffer;
}

/** Separates these signatures from other uses of the shared key. */
const SIGNATURE_CONTEXT = "ospreyreel forwarded request 1";

/** Returns the headers of a request that are forwarded. */
export const getSignedHeaders = (req: IncomingMessage): SignedHeaders => {
    const headers: Partial<Record<typeof SIGNED_HEADERS[number], string>> = {};
    for (const name of SIGNED_HEADERS) {
        const value = req.headers[name];
        if (typeof value === "string") {
            headers[name] = value;
        }
    }
    return headers;
};

/**
 * Proves to an instance that another one forwarded a request.
 *
 * The receiver's incarnation is signed instead of a time: instances need no common clock, and a signature expires with
 * the incarnation whose registry it was made for.
 */
export class ForwardSignature {
    constructor(private readonly sharedKey: string) {}

    /** Returns the signature of a request as the value of the `x-ospreyreel-forwarded` header. */
    sign(req: ForwardedRequest): string {
        return this.getMac(req).toString("base64url");
    }

    /** Whether a header's value is the signature of its request. */
    verify(req: ForwardedRequest, value: string): boolean {
        const actual = Buffer.from(value, "base64url");
        const expected = this.getMac(req);
        return actual.length === expected.length && timingSafeEqual(actual, expected);
    }

    private getMac({ to, method, path, headers, body }: ForwardedRequest): Buffer {
        const bodyHash = createHash("sha256").update(body).digest("base64url");
        const headerValues = SIGNED_HEADERS.map(name => headers[name] ?? null);
        // A JSON array, so that no two requests result in the same text.
        const text = JSON.stringify([SIGNATURE_CONTEXT, to, method, path, headerValues, bodyHash]);
        return createHmac("sha256", this.sharedKey).update(text).digest();
    }
}
