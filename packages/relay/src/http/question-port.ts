import { once } from "node:events";
import { createServer, type Server } from "node:http";

/** Answer to a question. */
export interface QuestionAnswer {
    readonly status: number;
    readonly contentType?: string;
    readonly body?: string;
}

/** Where a question port listens, and what it answers. */
export interface QuestionPortOptions {
    readonly host: string;
    readonly port: number;
    readonly answer: (method: string, url: URL) => QuestionAnswer | Promise<QuestionAnswer>;
}

const HTTP_INTERNAL = 500;

/** A small HTTP port for questions about the instance. */
export class QuestionPort {
    private readonly server: Server;

    constructor(private readonly opts: QuestionPortOptions) {
        this.server = createServer((req, res) => {
            req.resume();
            const url = new URL(req.url ?? "/", "http://instance");
            Promise.resolve(this.opts.answer(req.method ?? "", url)).catch(() => ({ status: HTTP_INTERNAL }))
                .then(({ status, contentType = "text/plain", body = "" }: QuestionAnswer) =>
                    res.writeHead(status, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) })
                        .end(body)
                )
                .catch(() => res.destroy());
        });
    }

    /** Starts listening; throws where the address can't be listened on. */
    async start(): Promise<void> {
        this.server.listen(this.opts.port, this.opts.host);
        await once(this.server, "listening");
    }

    /** Stops listening and cuts open connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
