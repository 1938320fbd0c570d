import { IoTimeout } from "@ospreyreel/peer";
import { randomBytes } from "node:crypto";
import type { Socket } from "node:net";

/** Length of the secret with which a helper recognizes the connections that it agreed to serve, in bytes. */
export const TICKET_BYTES = 16;

/** Creates a ticket. */
export const createTicket = (): Buffer => randomBytes(TICKET_BYTES);

/**
 * Reads the ticket that precedes the caller's bytes on a connection, and leaves the connection paused before them; undefined where
 * the connection ends or the time is over before.
 */
export const readTicket = (socket: Socket, timeoutMs: number): Promise<Buffer | undefined> =>
    new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const settle = (ticket: Buffer | undefined): void => {
            timeout.cancel();
            socket.off("data", onData).off("end", onEnd).off("close", onEnd);
            resolve(ticket);
        };
        const onEnd = (): void => settle(undefined);
        const timeout = new IoTimeout(onEnd, timeoutMs);
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            bytes += chunk.length;
            if (bytes < TICKET_BYTES) {
                return;
            }
            socket.pause();
            const read = Buffer.concat(chunks);
            if (read.length > TICKET_BYTES) {
                socket.unshift(read.subarray(TICKET_BYTES));
            }
            settle(read.subarray(0, TICKET_BYTES));
        };
        socket.on("data", onData).once("end", onEnd).once("close", onEnd);
    });
