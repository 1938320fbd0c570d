import { closeWithLinger } from "@ospreyreel/peer";
import type { Socket } from "node:net";

/** Options of {@link joinConnections}. */
export interface JoinOptions {
    /** The caller's connection. */
    readonly caller: Socket;
    /** Connection to the helper that serves the caller. */
    readonly helper: Socket;
    /**
     * Resolves whether the helper's process lives, so that it has closed its connection on purpose; does not reject. After a crash
     * a response that ends with its connection would look complete.
     */
    readonly confirmEnd: () => Promise<boolean>;
    /** Called when the caller's connection is reset since the helper's has failed. */
    readonly onReset: () => void;
    /** Called once when both connections are closed or closing. */
    readonly onEnd: () => void;
}

/** Copies bytes between a caller and its helper in both directions until either of them ends. */
export const joinConnections = ({ caller, helper, confirmEnd, onReset, onEnd }: JoinOptions): void => {
    let isEnded = false;
    const end = (): void => {
        if (!isEnded) {
            isEnded = true;
            onEnd();
        }
    };
    const reset = (): void => {
        if (!isEnded && !caller.destroyed) {
            onReset();
        }
        caller.resetAndDestroy();
        helper.destroy();
        end();
    };
    copy(caller, helper);
    copy(helper, caller);
    caller.once("end", () => helper.end());
    caller.once("error", reset);
    caller.once("close", () => {
        helper.destroy();
        end();
    });
    helper.once("error", reset);
    helper.once("end", () => {
        if (caller.readableEnded) {
            caller.end();
            return;
        }
        void confirmEnd().then(isConfirmed => isConfirmed ? closeWithLinger(caller) : reset());
    });
    helper.once("close", () => {
        if (!helper.readableEnded) {
            reset();
        }
    });
};

const copy = (from: Socket, to: Socket): void => {
    from.on("data", chunk => {
        if (!to.write(chunk)) {
            from.pause();
            to.once("drain", () => from.resume());
        }
    });
};
