import type { CurrentDocument, Target } from "@ospreyreel/config";
import { LeastInFlight, RandomSource, TargetClient, TargetPool } from "@ospreyreel/targets";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { fromEvent } from "most";
import { EventEmitter, once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { followTargets } from "./follow-targets.js";

/** Longer than any test, so that neither side ends an idle connection by itself. */
const KEEP_ALIVE_MS = 600_000;
const POLL_MS = 5;

interface Server {
    readonly target: Target;
    readonly sockets: ReadonlySet<Socket>;
    /** Responses of which the first half is sent. */
    readonly open: ServerResponse[];
}

const startServer = async (t: ExecutionContext, name: string): Promise<Server> => {
    const sockets = new Set<Socket>();
    const open: ServerResponse[] = [];
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (req, res) => {
        res.setHeader("x-request-id", req.headers["x-request-id"] ?? "");
        if (req.url === "/whole") {
            res.end("whole");
            return;
        }
        res.write("first ");
        open.push(res);
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as { readonly port: number; };
    const url = `http://127.0.0.1:${port}`;
    return { target: { name, kind: "service", url, availabilityZone: "ahd-hall", capacity: 4 }, sockets, open };
};

const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
};

interface Fixture {
    readonly client: TargetClient;
    readonly pool: TargetPool;
    /** Resolves once the pool has the document's targets. */
    readonly setTargets: (...targets: readonly Target[]) => Promise<void>;
}

const follow = (t: ExecutionContext): Fixture => {
    const counters = new Counters();
    const client = new TargetClient({ counters });
    t.teardown(() => client.close());
    const pool = new TargetPool({ policy: new LeastInFlight(new RandomSource(1)), counters });
    const events = new EventEmitter();
    void followTargets({ documents: fromEvent<CurrentDocument>("change", events), pool, client });
    const setTargets = async (...targets: readonly Target[]): Promise<void> => {
        const document = { teams: [], budgets: [], targets, offerings: [], rules: [] };
        events.emit("change", { document });
        await until(() => pool.getTargets().length === targets.length);
    };
    return { client, pool, setTargets };
};

const get = async (client: TargetClient, target: Target, path: string): Promise<string> =>
    (await client.call({ target, path, streamId: path })).body.toString();

test("only idle connections to targets removed from the document are closed", async t => {
    t.timeout(20_000);
    const [leaving, staying] = [await startServer(t, "leaving"), await startServer(t, "staying")];
    const { client, pool, setTargets } = follow(t);
    await setTargets(leaving.target, staying.target);
    await get(client, leaving.target, "/whole");
    await get(client, staying.target, "/whole");
    t.deepEqual([leaving.sockets.size, staying.sockets.size], [1, 1]);
    await setTargets(staying.target);
    await until(() => leaving.sockets.size === 0);
    t.is(staying.sockets.size, 1);
    t.deepEqual(pool.getTargets(), [staying.target]);
});

test("a response in progress from a target removed from the document is completed", async t => {
    t.timeout(20_000);
    const leaving = await startServer(t, "leaving");
    const { client, setTargets } = follow(t);
    await setTargets(leaving.target);
    const responses = ["/a", "/b"].map(path => get(client, leaving.target, path));
    await until(() => leaving.open.length === 2);
    await setTargets();
    // A request sent after the change, such as one for the remainder of a stream, is served as well.
    t.is(await get(client, leaving.target, "/whole"), "whole");
    leaving.open.forEach(res => res.end("second"));
    t.deepEqual(await Promise.all(responses), ["first second", "first second"]);
    await setTargets();
    await until(() => leaving.sockets.size === 0);
});

test("closing the client aborts a response in progress from a removed target", async t => {
    t.timeout(20_000);
    const leaving = await startServer(t, "leaving");
    const { client, setTargets } = follow(t);
    await setTargets(leaving.target);
    const response = get(client, leaving.target, "/a");
    await until(() => leaving.open.length === 1);
    await setTargets();
    await client.close();
    await t.throwsAsync(response);
    await until(() => leaving.sockets.size === 0);
});
