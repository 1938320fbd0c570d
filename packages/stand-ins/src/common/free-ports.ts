import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** Below the ports that systems give to outgoing connections, which would take a port again between check and use. */
const FIRST_PORT = 10_000;
const BLOCK_PORTS = 16;
const BLOCKS = 1_400;

/** Takes a port; undefined where it is in use. */
const listenOn = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

const isFree = async (port: number): Promise<boolean> => {
    const server = await listenOn(port);
    if (server === undefined) {
        return false;
    }
    await once(server.close(), "close");
    return true;
};

/** Ports of blocks that this process alone uses: it keeps the first port of each for as long as it lives. */
class PortBlocks {
    private readonly ports: number[] = [];

    /** A port that was not given before and is free. */
    async take(): Promise<number> {
        for (;;) {
            const port = this.ports.shift();
            if (port === undefined) {
                await this.addBlock();
            }
            else if (await isFree(port)) {
                return port;
            }
        }
    }

    private async addBlock(): Promise<void> {
        const first = FIRST_PORT + BLOCK_PORTS * randomInt(BLOCKS);
        const guard = await listenOn(first);
        if (guard !== undefined) {
            guard.unref();
            this.ports.push(...Array.from({ length: BLOCK_PORTS - 1 }, (_, index) => first + 1 + index));
        }
    }
}

const blocks = new PortBlocks();

/** Free ports on 127.0.0.1 that no other rig takes before they are used, all different. */
export const getFreePorts = async (count: number): Promise<readonly number[]> =>
    await Promise.all(Array.from({ length: count }, () => blocks.take()));
