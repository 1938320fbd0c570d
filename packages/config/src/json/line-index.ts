/** A position in a text; line and column start at 1. */
export interface Position {
    readonly line: number;
    readonly column: number;
}

/** Converts offsets of a text to lines and columns. */
export class LineIndex {
    private readonly starts: readonly number[];

    constructor(text: string) {
        const starts = [0];
        for (let at = text.indexOf("\n"); at >= 0; at = text.indexOf("\n", at + 1)) {
            starts.push(at + 1);
        }
        this.starts = starts;
    }

    /** Finds the line that contains the offset by binary search. */
    getPosition(offset: number): Position {
        let low = 0;
        let high = this.starts.length - 1;
        while (low < high) {
            const middle = Math.ceil((low + high) / 2);
            if ((this.starts[middle] ?? 0) <= offset) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return { line: low + 1, column: offset - (this.starts[low] ?? 0) + 1 };
    }
}
