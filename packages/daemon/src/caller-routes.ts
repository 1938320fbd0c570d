import type { ConfigStore, OperatorsDocument, Settings } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import type { Ledger } from "@ospreyreel/ledger";
import type { AddressBook, PeerHub } from "@ospreyreel/peer";
import {
    authenticateCaller,
    type CallerRequest,
    getAddressResponse,
    isRequestPath,
    type RequestCoordinator,
} from "@ospreyreel/router";
import type { IncomingMessage } from "node:http";

/** Options of {@link CallerRoutes}. */
export interface CallerRoutesOptions {
    readonly cfg: Settings;
    readonly config: ConfigStore;
    readonly hub: PeerHub;
    readonly book: AddressBook;
    readonly path: RequestCoordinator;
    readonly ledger: Pick<Ledger, "registered">;
}

/** Routes the requests of callers by path. */
export class CallerRoutes {
    private turn = 0;

    constructor(private readonly opts: CallerRoutesOptions) {}

    /** Checks the key of a request before its body is read. Throws `unauthorized` or `notReady`. */
    checkHead(req: IncomingMessage, path: string): void {
        if (isRequestPath(path)) {
            authenticateCaller(this.getDocument(), req.headers.authorization);
        }
    }

    /** Handles one request. Throws errors with result codes. */
    async handle(call: CallerRequest): Promise<void> {
        if (isRequestPath(call.path)) {
            await this.opts.path.serve(call);
        }
        else if (call.path === "/v1/addresses") {
            this.sendAddresses(call);
        }
        else if (call.path === "/health") {
            this.sendHealth(call);
        }
        else {
            throw new OspreyError(`there is no path "${call.path}"`, { result: "notFound" });
        }
    }

    private getDocument(): OperatorsDocument {
        const current = this.opts.config.current();
        if (current === undefined) {
            throw new OspreyError("no current configuration is known here", { result: "notReady" });
        }
        return current.document;
    }

    private sendAddresses(call: CallerRequest): void {
        const { book, cfg } = this.opts;
        const { team } = authenticateCaller(this.getDocument(), call.req.headers.authorization);
        const availabilityZone = new URLSearchParams(call.query).get("availability_zone") ?? undefined;
        const ordered = book.order(team.budget, { availabilityZone, turn: this.turn++ });
        this.send(call, 200, getAddressResponse(ordered, cfg.fleet.addressTtlS));
    }

    private sendHealth(call: CallerRequest): void {
        const { state } = this.opts.hub.self();
        const ready = this.opts.config.current() !== undefined && this.opts.ledger.registered;
        this.send(call, ready && state === "live" ? 200 : 503, { state, ready });
    }

    private send(call: CallerRequest, status: number, body: unknown): void {
        call.res.writeHead(status, { "content-type": "application/json", "x-request-id": call.requestId });
        call.res.end(JSON.stringify(body));
    }
}
