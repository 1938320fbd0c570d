const COLUMN_GAP = "  ";

/** Formats rows as aligned columns, one line per row; the first row is the heading. */
export const formatTable = (rows: readonly (readonly string[])[]): readonly string[] => {
    const widths: number[] = [];
    for (const row of rows) {
        row.forEach((cell, column) => {
            widths[column] = Math.max(widths[column] ?? 0, cell.length);
        });
    }
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd());
};
