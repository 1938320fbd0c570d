import { createHash, timingSafeEqual } from "node:crypto";

const SCHEME = /^Bearer +(\S+)$/i;

const hash = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Creates a check of the Authorization header that compares tokens in constant time. */
export const createTokenCheck = (token: string): (authorization: string | undefined) => boolean => {
    const expected = hash(token);
    return authorization => {
        const presented = SCHEME.exec(authorization ?? "")?.[1];
        return presented !== undefined && timingSafeEqual(hash(presented), expected);
    };
};
