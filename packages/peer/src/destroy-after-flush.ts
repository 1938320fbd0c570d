import type { Socket } from "node:net";

/** Options of {@link destroyAfterFlush}. */
export interface DestroyOptions {
    /** Whether the other side is to see a reset, and no ordinary end; false by default. */
    readonly withReset?: boolean;
}

/** Maximum time in which what was written is sent, in milliseconds. */
const FLUSH_TIMEOUT_MS = 1_000;

/** Destroys a connection once everything that was written is sent. */
export const destroyAfterFlush = (socket: Socket, { withReset = false }: DestroyOptions = {}): void => {
    const destroy = (): void => void (withReset ? socket.resetAndDestroy() : socket.destroy());
    if (socket.writableLength === 0) {
        destroy();
        return;
    }
    const timer = setTimeout(destroy, FLUSH_TIMEOUT_MS);
    socket.once("close", () => clearTimeout(timer));
    socket.write("", destroy);
};
