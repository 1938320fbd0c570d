/** Size from which a chunk is kept as it is if it is most of what was read at once, in bytes; others are copied together. */
const LARGE_CHUNK_BYTES = 2_048;

/** Sizes of the first block that small chunks are copied to and of the largest one, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 16_384;

const NO_BYTES = Buffer.alloc(0);

/**
 * Collects the chunks of a message. Small ones share blocks of memory, since a buffer for each of many small chunks takes a hundred times
 * their bytes.
 */
export class ByteCollector {
    private pieces: Buffer[] = [];
    /** Where small chunks are copied to, behind all pieces. */
    private block: Buffer = NO_BYTES;
    private blockBytes = 0;
    private bytes = 0;

    /** Number of collected bytes. */
    get size(): number {
        return this.bytes;
    }

    /** Adds a chunk, which must not be changed afterwards. */
    add(chunk: Buffer): void {
        if (chunk.length === 0) {
            return;
        }
        // A small part of a large read would keep all of it in memory.
        const readBytes = chunk.buffer.byteLength;
        const isMostOfRead = readBytes <= MAX_BLOCK_BYTES || chunk.length * 2 >= readBytes;
        if (isMostOfRead && (chunk.length >= LARGE_CHUNK_BYTES || this.bytes === 0)) {
            this.endBlock();
            this.pieces.push(chunk);
        }
        else {
            this.copy(chunk);
        }
        this.bytes += chunk.length;
    }

    /** The last bytes, up to a number of them. */
    getLast(count: number): Buffer {
        const last: Buffer[] = [this.block.subarray(Math.max(0, this.blockBytes - count), this.blockBytes)];
        for (let at = this.pieces.length - 1, left = count - this.blockBytes; at >= 0 && left > 0; at--) {
            const piece = this.pieces[at] ?? NO_BYTES;
            last.unshift(piece.subarray(-left));
            left -= piece.length;
        }
        return Buffer.concat(last);
    }

    /** Returns all bytes and starts anew. */
    take(): Buffer {
        this.endBlock();
        const [first = NO_BYTES] = this.pieces;
        const taken = this.pieces.length <= 1 ? first : Buffer.concat(this.pieces);
        this.clear();
        return taken;
    }

    /** Discards all bytes. */
    clear(): void {
        this.pieces = [];
        this.block = NO_BYTES;
        this.blockBytes = 0;
        this.bytes = 0;
    }

    private copy(chunk: Buffer): void {
        if (this.blockBytes + chunk.length > this.block.length) {
            const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, 2 * this.block.length));
            this.endBlock();
            this.block = Buffer.allocUnsafeSlow(Math.max(size, chunk.length));
        }
        chunk.copy(this.block, this.blockBytes);
        this.blockBytes += chunk.length;
    }

    private endBlock(): void {
        if (this.blockBytes > 0) {
            this.pieces.push(this.block.subarray(0, this.blockBytes));
        }
        this.block = NO_BYTES;
        this.blockBytes = 0;
    }
}
