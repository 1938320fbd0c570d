import { EventEmitter } from "node:events";

/** One key with its value, as the platform's store keeps it. */
export interface StoreItem {
    readonly key: string;
    /** Base64. */
    readonly value: string;
    readonly revision: number;
    readonly created: number;
    readonly lease: number;
}

/** A change, as a watch tells it. */
export type StoreEvent = StoreItem | { readonly key: string; readonly revision: number; readonly removed: true; };

/** A conditional write. */
export interface StoreTxn {
    readonly expectedRevision: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly remove: readonly string[];
}

/** The store's content at some time. */
export interface StoreCopy {
    readonly items: ReadonlyMap<string, StoreItem>;
    readonly history: readonly StoreEvent[];
    readonly revision: number;
}

/** Keys with one counter of revisions and a history that can be forgotten. */
export class StoreItems {
    readonly changes = new EventEmitter().setMaxListeners(0);
    private items = new Map<string, StoreItem>();
    private history: StoreEvent[] = [];
    private forgottenUpTo = 0;
    private at = 1;

    /** Revision of the last change. */
    get revision(): number {
        return this.at;
    }

    /** Reads one key. */
    get(key: string): StoreItem | undefined {
        return this.items.get(key);
    }

    /** Reads a prefix in the order of the keys. */
    range(prefix: string): readonly StoreItem[] {
        return [...this.items.values()].filter(item => item.key.startsWith(prefix))
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    /** Changes under a prefix after a revision; undefined where they are forgotten or the revision does not exist. */
    since(prefix: string, after: number): readonly StoreEvent[] | undefined {
        return after < this.forgottenUpTo || after > this.at
            ? undefined
            : this.history.filter(event => event.revision > after && event.key.startsWith(prefix));
    }

    /** Forgets the history. */
    forget(): void {
        this.forgottenUpTo = this.at;
        this.history = [];
    }

    /** Copies the content. */
    copy(): StoreCopy {
        return { items: new Map(this.items), history: [...this.history], revision: this.at };
    }

    /** Goes back to a copy; what was written since is lost, and its revisions are assigned again. */
    restore({ items, history, revision }: StoreCopy): void {
        this.items = new Map(items);
        this.history = [...history];
        this.at = revision;
        this.forgottenUpTo = Math.min(this.forgottenUpTo, revision);
        this.changes.emit("change");
    }

    /** Writes if all conditions hold; returns whether they did. */
    apply(txn: StoreTxn): boolean {
        if (txn.expectedRevision.some(({ key, revision }) => (this.get(key)?.revision ?? 0) !== revision)) {
            return false;
        }
        this.at += 1;
        for (const { key, value, lease = 0 } of txn.puts) {
            const item = { key, value, revision: this.at, created: this.get(key)?.created ?? this.at, lease };
            this.items.set(key, item);
            this.history.push(item);
        }
        for (const key of txn.remove.filter(name => this.items.delete(name))) {
            this.history.push({ key, revision: this.at, removed: true });
        }
        this.changes.emit("change");
        return true;
    }
}
