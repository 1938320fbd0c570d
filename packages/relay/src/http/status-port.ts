import { lingerOnClose } from "@ospreyreel/peer";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Response of a status port. */
export interface StatusPortResponse {
    readonly status: number;
    readonly contentType?: string;
    readonly body?: string;
}

/** Options of {@link StatusPort}. */
export interface StatusPortOptions {
    readonly host: string;
    readonly port: number;
    readonly answer: (method: string, url: URL) => StatusPortResponse | Promise<StatusPortResponse>;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_INTERNAL = 500;

/** HTTP port for readiness checks, the directory, metrics and the state dump. */
export class StatusPort {
    private readonly server: Server;

    constructor(private readonly opts: StatusPortOptions) {
        this.server = createServer((req, res) => {
            req.resume();
            this.answer(req).catch(() => ({ status: HTTP_INTERNAL }))
                .then(({ status, contentType = "text/plain", body = "" }: StatusPortResponse) =>
                    res.writeHead(status, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) })
                        .end(body)
                )
                .catch(() => res.destroy());
        });
        lingerOnClose(this.server);
    }

    private async answer({ method = "", url = "/" }: IncomingMessage): Promise<StatusPortResponse> {
        const target = `http://instance${url}`;
        return URL.canParse(target) ? await this.opts.answer(method, new URL(target)) : { status: HTTP_BAD_REQUEST };
    }

    /** Starts listening; throws if listening on the address fails. */
    async start(): Promise<void> {
        this.server.listen(this.opts.port, this.opts.host);
        await once(this.server, "listening");
    }

    /** The port number that is listened on. */
    get listenPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening and closes all open connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
