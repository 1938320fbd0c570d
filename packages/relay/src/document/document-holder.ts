import { EventEmitter } from "node:events";
import type { RelayDocument } from "./relay-document.js";
import { RouteTable } from "./route-table.js";

/** The newest desired state that this process has seen; it never goes back to an older one. */
export class DocumentHolder {
    private readonly events = new EventEmitter().setMaxListeners(0);
    private table: RouteTable | undefined;
    private text: Uint8Array | undefined;

    /** The state in force; undefined before the first one. */
    current(): RouteTable | undefined {
        return this.table;
    }

    /** Version in force; 0 before the first one. */
    get version(): number {
        return this.table?.document.version ?? 0;
    }

    /** The state in force as it was read, to be handed to other instances. */
    get encoded(): Uint8Array | undefined {
        return this.text;
    }

    /** Takes a state if it is newer; returns whether it was. */
    offer(document: RelayDocument, encoded: Uint8Array): boolean {
        if (document.version <= this.version) {
            return false;
        }
        this.table = new RouteTable(document);
        this.text = encoded;
        this.events.emit("change", this.table);
        return true;
    }

    /** Calls back at each newer state. */
    onChange(listener: (table: RouteTable) => void): void {
        this.events.on("change", listener);
    }
}
