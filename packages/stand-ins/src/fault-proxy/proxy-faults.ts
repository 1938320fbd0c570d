import { EventEmitter, once } from "node:events";

/** What a proxy does with connections and bytes. */
export type ProxyMode =
    /** Forwards everything. */
    | "pass"
    /** Destroys open connections and refuses new ones. */
    | "cut"
    /** Accepts connections and holds all bytes back until the mode changes. */
    | "stall"
    /** Drops all bytes and closes of both directions; connections look open. */
    | "halfOpen"
    /** Drops what clients send. */
    | "dropClientToServer"
    /** Drops what the server sends. */
    | "dropServerToClient";

/** Faults of a proxy. */
export interface ProxyFaults {
    readonly mode: ProxyMode;
    /** Delay of each direction. */
    readonly delayMs: number;
}

/** A proxy without faults. */
export const NO_PROXY_FAULTS: ProxyFaults = { mode: "pass", delayMs: 0 };

/** Direction of bytes through a proxy. */
export type Direction = "clientToServer" | "serverToClient";

/** Modes in which what a direction carries is lost. */
export const DROPPING_MODES: Readonly<Record<Direction, readonly ProxyMode[]>> = {
    clientToServer: ["halfOpen", "dropClientToServer"],
    serverToClient: ["halfOpen", "dropServerToClient"],
};

/** The faults in force, shared by all connections of a proxy. */
export class FaultSwitch {
    private readonly changes = new EventEmitter().setMaxListeners(0);
    private faults = NO_PROXY_FAULTS;

    /** Faults in force. */
    get current(): ProxyFaults {
        return this.faults;
    }

    /** Replaces the faults. */
    set(faults: ProxyFaults): void {
        this.faults = faults;
        this.changes.emit("change");
    }

    /** Whether bytes of a direction are lost at the moment. */
    drops(direction: Direction): boolean {
        return DROPPING_MODES[direction].includes(this.faults.mode);
    }

    /** Waits until the mode is none of those given; rejects when the signal aborts. */
    async untilNot(modes: readonly ProxyMode[], signal: AbortSignal): Promise<void> {
        signal.throwIfAborted();
        while (modes.includes(this.faults.mode)) {
            await once(this.changes, "change", { signal });
        }
    }
}
