import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { TargetConnection } from "./target-connection.js";

/** Options of one exchange with a target. */
export interface TargetDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called with the client's connection before the exchange starts. */
    readonly onConnection?: (connection: TargetConnection) => void;
}

/** HTTP client with one connection, which is visible to the exchanges on it. */
export class HttpTargetClient extends Client {
    private readonly connection: TargetConnection;

    /** `createConnector` returns what opens connections; it calls its argument with each one before the client uses it. */
    constructor(
        origin: string | URL,
        opts: object,
        createConnector: (onOpen: (socket: Socket) => void) => buildConnector.connector,
    ) {
        const connection = new TargetConnection();
        super(origin, { ...opts, connect: createConnector(socket => connection.attach(socket)) });
        this.connection = connection;
    }

    override dispatch(opts: TargetDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        opts.onConnection?.(this.connection);
        return super.dispatch(opts, handler);
    }
}
