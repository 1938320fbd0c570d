import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import type { StopWindow } from "../policy/stop-window.js";

const POLL_INTERVAL_MS = 50;

const waitUntilIdle = async (endsAtMs: number, getOpenExchanges: () => number): Promise<void> => {
    while (performance.now() < endsAtMs && getOpenExchanges() > 0) {
        await sleep(POLL_INTERVAL_MS);
    }
};

/** Options of {@link waitUntilDrained}. */
export interface DrainOptions {
    readonly window: StopWindow;
    readonly getOpenExchanges: () => number;
    /** Stops taking connections; called once no request is accepted any more. */
    readonly stopAccepting: () => void;
}

/**
 * Resolves when a stopping instance may close its connections: all exchanges have ended, or the window has. No request is
 * accepted any more by then, and no connection is taken.
 */
export const waitUntilDrained = async ({ window, getOpenExchanges, stopAccepting }: DrainOptions): Promise<void> => {
    await sleep(window.servesUntilMs - performance.now());
    await waitUntilIdle(window.endsAtMs, getOpenExchanges);
    window.close();
    // After a pause of the process, what arrived during it is read first.
    await nextTurn();
    await nextTurn();
    stopAccepting();
    await waitUntilIdle(window.endsAtMs, getOpenExchanges);
};
