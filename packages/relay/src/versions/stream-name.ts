import { createHash } from "node:crypto";

/** Characters of a name: 96 bits of the digest, so that two streams do not share a name. */
const NAME_CHARS = 16;

/** Names the stream of a team's request by the id that its caller chose; has the same length for any id. */
export const getStreamName = (team: string | undefined, requestId: string): string =>
    createHash("sha256").update(JSON.stringify([team ?? "", requestId])).digest("base64url").slice(0, NAME_CHARS);
