import { createHash } from "node:crypto";

const PREFIX_CHARS = 256;
const HASH_CHARS = 16;

/** Returns the hash of a prompt's prefix, as engines report it in their cache events. */
export const getPrefixHash = (prompt: string): string =>
    createHash("sha256").update(prompt.slice(0, PREFIX_CHARS)).digest("hex").slice(0, HASH_CHARS);
