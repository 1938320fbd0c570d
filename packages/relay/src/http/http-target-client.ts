import { Client, type Dispatcher } from "undici";
import { TargetConnection } from "./target-connection.js";
import { createTargetConnector } from "./target-connector.js";

/** Options of one exchange with a target. */
export interface TargetDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called with the client's connection before the exchange starts. */
    readonly onConnection?: (connection: TargetConnection) => void;
}

/** HTTP client with one connection, which is visible to the exchanges on it. */
export class HttpTargetClient extends Client {
    private readonly connection: TargetConnection;

    constructor(origin: string | URL, opts: Client.Options) {
        const connection = new TargetConnection();
        super(origin, { ...opts, connect: createTargetConnector({ onOpen: socket => connection.attach(socket) }) });
        this.connection = connection;
    }

    override dispatch(opts: TargetDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        opts.onConnection?.(this.connection);
        return super.dispatch(opts, handler);
    }
}
