/** Number of parts from which a message must be larger than so many parts of the minimum mean size. */
const MAX_SMALL_PARTS = 65_536;

/** Minimum mean size of the parts of a message with many of them, in bytes; smaller ones take a processor's time without end. */
const MIN_MEAN_PART_BYTES = 16;

/** Whether a message has too many small parts to be read on. */
export const hasTooManySmallParts = (parts: number, bytes: number): boolean =>
    parts > MAX_SMALL_PARTS && bytes < parts * MIN_MEAN_PART_BYTES;
