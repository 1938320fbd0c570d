import { once } from "node:events";
import { createServer } from "node:net";

/** Connections that the operating system opens before it ignores further ones; one more than this. */
const BACKLOG = 1;

/** Listens on the ports in the arguments. Once it is paused, connections to them stay unanswered as in a partition. */
const run = async (): Promise<void> => {
    for (const port of process.argv.slice(2)) {
        const server = createServer();
        server.listen({ port: Number(port), host: "127.0.0.1", backlog: BACKLOG });
        await once(server, "listening");
    }
    process.stdout.write(`${JSON.stringify({ ready: true, role: "unaccepting", pid: process.pid })}\n`);
};

await run();
