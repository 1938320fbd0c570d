import type { Socket } from "node:net";

/**
 * Whether a connection ended by a reset. If the reset arrives together with data, Node.js reports an ordinary end; but a connection
 * that was reset has no remote address any more. The address must not be read before, since Node.js would cache it, and says nothing
 * after an end of this side.
 */
export const wasReset = (socket: Pick<Socket, "remoteAddress">): boolean => socket.remoteAddress === undefined;
