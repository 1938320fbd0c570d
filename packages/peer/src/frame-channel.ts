import type { Counters } from "@ospreyreel/telemetry";
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "./frame-decoder.js";

/** Longest time in which a socket may close gracefully before it is destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Options of {@link FrameChannel}. */
export interface FrameChannelOptions {
    readonly socket: Socket;
    /** Largest accepted body, in bytes. */
    readonly maxFrameBytes: number;
    readonly counters: Counters;
}

/** Sends and receives frames over one socket. */
export class FrameChannel {
    /** Bodies as they arrive; ends with the socket, throws FrameError on a bad frame. */
    readonly frames: AsyncGenerator<Buffer, void, void>;
    private readonly socket: Socket;
    private readonly counters: Counters;
    private readonly decoder: FrameDecoder;

    constructor(opts: FrameChannelOptions) {
        this.socket = opts.socket;
        this.counters = opts.counters;
        this.decoder = new FrameDecoder(opts);
        this.frames = this.read();
        this.socket.setNoDelay(true);
        // Reading throws the error as well; without a listener it would end the process.
        this.socket.on("error", () => undefined);
    }

    /** Sets the limit for further frames, in bytes. */
    setMaxFrameBytes(bytes: number): void {
        this.decoder.maxFrameBytes = bytes;
    }

    /** Bytes that the socket has not sent yet. */
    get unsentBytes(): number {
        return this.socket.writableLength;
    }

    /** Queues a body; does nothing once the socket is closing. */
    send(body: Buffer): void {
        if (this.socket.writable) {
            const bytes = encodeFrame(body);
            this.counters.add("peer_bytes_sent", bytes.length);
            this.socket.write(bytes);
        }
    }

    /** Closes after queued bytes are sent; destroys a socket that does not finish in time. */
    end(): void {
        this.socket.end();
        setTimeout(() => this.socket.destroy(), CLOSE_TIMEOUT_MS).unref();
    }

    /** Destroys the socket. */
    destroy(): void {
        this.socket.destroy();
    }

    private async *read(): AsyncGenerator<Buffer, void, void> {
        for await (const chunk of this.socket as AsyncIterable<Buffer>) {
            this.counters.add("peer_bytes_received", chunk.length);
            yield* this.decoder.push(chunk);
        }
    }
}
