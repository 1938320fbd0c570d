import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { replaceResetCode } from "../connection/replace-reset-code.js";

/** Creates what opens connections within a time in milliseconds and reports each one to `onOpen`. */
export const createConnector = (timeout: number, onOpen: (socket: Socket) => void): buildConnector.connector => {
    const connect = buildConnector({ timeout });
    return (opts, callback) =>
        connect(opts, (...result) => {
            const [err, socket] = result;
            if (err === null) {
                // Registered before the listener of the HTTP client.
                socket.on("error", replaceResetCode);
                onOpen(socket);
            }
            callback(...result);
        });
};
