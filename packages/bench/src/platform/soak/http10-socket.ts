import { Socket } from "node:net";

/** A part of what is sent. */
interface Part {
    readonly chunk: unknown;
    readonly encoding: BufferEncoding;
}

type Done = (err?: Error | null) => void;

const toHttp10 = (chunk: unknown): unknown =>
    typeof chunk === "string" ? chunk.replace(" HTTP/1.1\r\n", " HTTP/1.0\r\n") : chunk;

/** A connection on which requests are sent as ones of HTTP/1.0; Node's client sends no others. */
export class Http10Socket extends Socket {
    // eslint-disable-next-line @typescript-eslint/naming-convention -- The name of Node's stream method.
    override _write(chunk: unknown, encoding: BufferEncoding, done: Done): void {
        super._write(toHttp10(chunk), encoding, done);
    }

    // eslint-disable-next-line @typescript-eslint/naming-convention -- The name of Node's stream method.
    override _writev(parts: readonly Part[], done: Done): void {
        super._writev?.(parts.map(part => ({ ...part, chunk: toHttp10(part.chunk) })), done);
    }
}
