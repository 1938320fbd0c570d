/** Whether SubtleCrypto is available; browsers offer it only over HTTPS or on localhost. */
export const canHash = (): boolean => (globalThis.crypto as Partial<Crypto>).subtle !== undefined;

/** Returns the hexadecimal SHA-256 of a caller's key; throws a RangeError if it is empty or has white space. */
export const hashKey = async (key: string): Promise<string> => {
    if (key === "" || /\s/.test(key)) {
        throw new RangeError("a key must not be empty or hold white space");
    }
    const digest = await globalThis.crypto.subtle.digest("SHA-256", new TextEncoder().encode(key));
    return [...new Uint8Array(digest)].map(byte => byte.toString(16).padStart(2, "0")).join("");
};
