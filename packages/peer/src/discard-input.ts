import type { Socket } from "node:net";

/** Reads and discards what still arrives on a connection that takes no further request; it is not parsed, which takes far more time. */
export const discardInput = (socket: Socket): void => {
    socket.removeAllListeners("data").on("data", () => undefined);
};
