import { EventEmitter } from "node:events";
import { ChangeLog, type IsIrrelevantUpdate } from "./change-log.js";

/** State of one prefix of the KV service at this instance. */
export class SharedPrefix {
    readonly log: ChangeLog;
    /** Time of the last response of the KV service itself, in milliseconds. */
    directReadAtMs = Number.NEGATIVE_INFINITY;
    /** Time before which the KV service is not read again, so that changes are batched; in milliseconds. */
    nextReadAtMs = Number.NEGATIVE_INFINITY;
    private readonly updates = new EventEmitter().setMaxListeners(0);

    constructor(isIrrelevantUpdate: IsIrrelevantUpdate) {
        this.log = new ChangeLog(isIrrelevantUpdate);
    }

    /** Notifies waiting requests that a direct read returned changes. */
    notifyRead(): void {
        this.updates.emit("read");
    }

    /** Resolves when a direct read returned changes, or after a time in milliseconds. */
    awaitRead(ms: number): Promise<void> {
        return new Promise(resolve => {
            const end = (): void => {
                clearTimeout(timer);
                this.updates.off("read", end);
                resolve();
            };
            const timer = setTimeout(end, ms);
            this.updates.once("read", end);
        });
    }
}
