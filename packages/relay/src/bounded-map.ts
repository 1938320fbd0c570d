/** A map with a maximum number of entries; the one that was set the longest ago is removed for a new one. */
export class BoundedMap<V> {
    private readonly entries = new Map<string, V>();

    constructor(private readonly maxEntries: number) {}

    /** Number of entries. */
    get size(): number {
        return this.entries.size;
    }

    /** Returns the value of a key. */
    get(key: string): V | undefined {
        return this.entries.get(key);
    }

    /** Sets the value of a key, which then counts as the newest. */
    set(key: string, value: V): void {
        this.entries.delete(key);
        this.entries.set(key, value);
        if (this.entries.size > this.maxEntries) {
            const [oldest] = this.entries.keys();
            this.entries.delete(oldest ?? key);
        }
    }

    /** Removes a key. */
    delete(key: string): void {
        this.entries.delete(key);
    }

    /** All entries, the oldest first. */
    list(): readonly (readonly [string, V])[] {
        return [...this.entries];
    }
}
