import { HTTPParser, methods, type OnHeadersCompleteParser } from "http-parser-js";

/** Options of {@link MessageReader}. */
export interface MessageReaderOptions {
    readonly kind: "request" | "response";
    /** Whether no body follows whatever the head says, as in a response to HEAD; false by default. */
    readonly hasNoBody?: boolean;
}

/** What the head of a message says. */
export interface MessageHead {
    /** Of a request. */
    readonly method: string;
    /** Path and query of a request. */
    readonly target: string;
    /** Status of a response. */
    readonly status: number;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    /** Whether the connection stays open after the message. */
    readonly keepsConnection: boolean;
    /** Whether its end can be told without the end of the connection; always true of a request. */
    readonly isFramed: boolean;
    /** Whether its end, or what follows it, can't be told here. */
    readonly isUnfollowable: boolean;
}

/** The parser moves it; its type declarations leave it out. */
interface ParserOffset {
    readonly offset: number;
}

const HTTP_SWITCHING_PROTOCOLS = 101;

// Like the parser of node:http; its default takes some bytes of other languages' letters for line ends.
HTTPParser.encoding = "latin1";

/** Whether an entry of a list of names and values is the name of a header that tells where a body ends. */
const isFraming = (text: string, at: number): boolean =>
    at % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(text);

/**
 * Whether a body's coding is not just `chunked`, or comes with the offer of another protocol: the parser then ends the message elsewhere
 * than others do.
 */
const hasOddCoding = (rawHeaders: readonly string[], offersUpgrade: boolean): boolean =>
    rawHeaders.some((text, at) =>
        at % 2 === 0 && /^transfer-encoding$/i.test(text)
        && (offersUpgrade || rawHeaders[at + 1]?.toLowerCase() !== "chunked")
    );

/** Skips a body whatever the head says. */
const NO_BODY = 1;

/** Finds where one HTTP/1.1 message ends, without keeping its body. */
export class MessageReader {
    private readonly parser: InstanceType<typeof HTTPParser>;
    private parsedHead: MessageHead | undefined;
    private endOffset: number | undefined;
    private hasFailed = false;

    constructor({ kind, hasNoBody = false }: MessageReaderOptions) {
        this.parser = new HTTPParser(kind === "request" ? HTTPParser.REQUEST : HTTPParser.RESPONSE);
        const onHead: OnHeadersCompleteParser = info => {
            // The parser goes on with what follows the message in its last chunk.
            if (this.endOffset === undefined) {
                this.parsedHead = {
                    method: methods[info.method] ?? "",
                    target: info.url,
                    status: info.statusCode,
                    rawHeaders: info.headers,
                    keepsConnection: info.shouldKeepAlive,
                    isFramed: kind === "request" || hasNoBody || info.headers.some(isFraming),
                    isUnfollowable: methods[info.method] === "CONNECT" || info.statusCode === HTTP_SWITCHING_PROTOCOLS
                        || hasOddCoding(info.headers, info.upgrade),
                };
            }
            return hasNoBody ? NO_BODY : undefined;
        };
        this.parser[HTTPParser.kOnHeadersComplete] = onHead;
        this.parser[HTTPParser.kOnMessageComplete] = () => {
            this.endOffset ??= (this.parser as unknown as ParserOffset).offset;
        };
    }

    /** The head; undefined until all of it was read. */
    get head(): MessageHead | undefined {
        return this.parsedHead;
    }

    /** Whether all of the message was read. */
    get isComplete(): boolean {
        return this.endOffset !== undefined;
    }

    /** Whether what was read is no message. */
    get isInvalid(): boolean {
        return this.hasFailed;
    }

    /** Reads on; returns how many bytes of the chunk belong to the message. */
    read(chunk: Buffer): number {
        const result = this.parser.execute(chunk);
        // A length that is no number leaves the parser without a position.
        if (Number.isNaN(this.endOffset) || Number.isNaN(result)) {
            this.endOffset = undefined;
            this.hasFailed = true;
        }
        if (this.endOffset === undefined && result instanceof Error) {
            this.hasFailed = true;
        }
        return this.endOffset ?? chunk.length;
    }
}
