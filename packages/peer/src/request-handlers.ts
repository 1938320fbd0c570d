import type { InstanceInfo, PeerRequestKind } from "@ospreyreel/types";
import { peerUnavailable } from "./errors.js";
import type { RequestMessage } from "./messages.js";
import type { PeerHandler } from "./peer-hub.js";

type StoredHandler = (req: never, from: InstanceInfo) => Promise<unknown>;

/** The handlers of one hub by kind of request. */
export class RequestHandlers {
    private readonly handlers = new Map<string, StoredHandler>();

    /** Registers the handler of a kind. */
    set<K extends PeerRequestKind>(kind: K, handler: PeerHandler<K>): void {
        this.handlers.set(kind, handler);
    }

    /** Runs the handler of a request; throws what it throws, `peerUnavailable` where there is none. */
    async handle(req: RequestMessage, self: InstanceInfo, from: InstanceInfo): Promise<unknown> {
        if (req.to !== self.incarnation) {
            throw peerUnavailable("meant for another incarnation");
        }
        const handler = this.handlers.get(req.name);
        if (handler === undefined) {
            throw peerUnavailable(`no handler for ${req.name}`);
        }
        return handler(req.body as never, from);
    }
}
