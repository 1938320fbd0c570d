import type { Server } from "node:http";
import { Server as TcpServer } from "node:net";

/**
 * Stops listening and leaves all connections open. `close` of an HTTP server also closes those whose last response is
 * still being sent.
 */
export const stopListening = (server: Server): void => {
    TcpServer.prototype.close.call(server);
};
