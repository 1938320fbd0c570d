import { FrameError } from "./errors.js";

/** Size of the big-endian length before each body, in bytes. */
export const HEADER_BYTES = 4;

/** Splits a byte stream into frame bodies; holds at most one frame and the chunk that is being read. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private totalBytes = 0;
    /** Largest accepted body, in bytes. */
    maxFrameBytes: number;

    constructor(opts: { readonly maxFrameBytes: number; }) {
        this.maxFrameBytes = opts.maxFrameBytes;
    }

    /** Bytes of an incomplete frame. */
    get bufferedBytes(): number {
        return this.totalBytes;
    }

    /** Adds a chunk and yields the bodies that it completes; throws FrameError on an empty or oversized frame. */
    *push(chunk: Buffer): Generator<Buffer, void, void> {
        this.chunks.push(chunk);
        this.totalBytes += chunk.length;
        for (let body = this.readBody(); body !== undefined; body = this.readBody()) {
            yield body;
        }
    }

    private readBody(): Buffer | undefined {
        if (this.totalBytes < HEADER_BYTES) {
            return undefined;
        }
        const length = this.getHeader().readUInt32BE(0);
        if (length === 0 || length > this.maxFrameBytes) {
            throw new FrameError(`frame of ${length} bytes, allowed are 1 to ${this.maxFrameBytes}`);
        }
        if (this.totalBytes < HEADER_BYTES + length) {
            return undefined;
        }
        const all = this.joinChunks();
        const end = HEADER_BYTES + length;
        this.chunks = all.length > end ? [all.subarray(end)] : [];
        this.totalBytes = all.length - end;
        return all.subarray(HEADER_BYTES, end);
    }

    /** Returns a first chunk with at least a complete header; joins chunks only where that is necessary. */
    private getHeader(): Buffer {
        const first = this.chunks[0];
        return first !== undefined && first.length >= HEADER_BYTES ? first : this.joinChunks();
    }

    private joinChunks(): Buffer {
        const all = this.chunks.length === 1 ? this.chunks[0] : undefined;
        const joined = all ?? Buffer.concat(this.chunks);
        this.chunks = [joined];
        return joined;
    }
}

/** Encodes a body as a frame: the length, then the body. */
export const encodeFrame = (body: Buffer): Buffer => {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(body.length, 0);
    return Buffer.concat([header, body]);
};
