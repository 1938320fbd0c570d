/** A model with its adapter and version, as engines load it. */
export interface LoadedModel {
    readonly model: string;
    readonly adapter?: string;
    readonly version?: string;
}

/** The whole state that an order asks for. */
export interface DesiredState {
    readonly models: readonly LoadedModel[];
    readonly role?: string;
}

/** One order as it came in. */
export interface OrderEntry {
    readonly fencing: number;
    readonly desired: DesiredState;
    readonly accepted: boolean;
}

/** Orders taken by an engine; the last accepted one is in force once its weights are loaded. */
export class OrderBook {
    private entries: readonly OrderEntry[] = [];
    private highestFencing = 0;
    private current: DesiredState | undefined;

    constructor(private readonly checksFencing: boolean) {}

    /** All orders, oldest first. */
    get log(): readonly OrderEntry[] {
        return this.entries;
    }

    /** The state in force. */
    get desired(): DesiredState | undefined {
        return this.current;
    }

    /** The highest fencing number accepted. */
    get fencing(): number {
        return this.highestFencing;
    }

    /** Takes an order; false where its fencing number is old and numbers are checked. */
    take(fencing: number, desired: DesiredState): boolean {
        const accepted = !this.checksFencing || fencing >= this.highestFencing;
        this.entries = [...this.entries, { fencing, desired, accepted }];
        if (accepted) {
            this.highestFencing = Math.max(this.highestFencing, fencing);
        }
        return accepted;
    }

    /** Puts an accepted order's state in force. */
    apply(desired: DesiredState): void {
        this.current = desired;
    }
}
