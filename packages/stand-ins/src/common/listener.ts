import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import { getFreePorts } from "./free-ports.js";

/** A free port stays out of the range of outgoing connections, which would take it while nothing listens on it. */
const choosePort = async (port: number): Promise<number> => port === 0 ? (await getFreePorts(1))[0] ?? 0 : port;

/** Opens, refuses and closes the connections of one server, always on the same port. */
export class Listener {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private bound: Address | undefined;

    constructor(server: Server) {
        this.server = server;
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            // A peer that vanishes is ordinary here; without a handler it would end the process.
            socket.on("error", () => socket.destroy());
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts to listen on 127.0.0.1; port 0 takes a free one the first time and the same one later. */
    async open(port = 0): Promise<Address> {
        if (!this.server.listening) {
            this.server.listen(this.bound?.port ?? await choosePort(port), "127.0.0.1");
            await once(this.server, "listening");
        }
        const info = this.server.address() as AddressInfo;
        this.bound = { host: info.address, port: info.port };
        return this.bound;
    }

    /** Refuses new connections until the next open; open ones go on. */
    refuse(): void {
        this.server.close();
    }

    /** Destroys all connections; new ones are refused until the next open. */
    async close(): Promise<void> {
        if (!this.server.listening) {
            this.destroySockets();
            return;
        }
        const closed = once(this.server, "close");
        this.server.close();
        this.destroySockets();
        await closed;
    }

    private destroySockets(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}
