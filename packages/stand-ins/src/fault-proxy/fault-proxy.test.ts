import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createConnection, createServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { Listener } from "../common/listener.js";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import type { ProxyMode } from "./proxy-faults.js";

/** First port that Linux gives to outgoing connections, unless it is set up otherwise. */
const FIRST_OUTGOING_PORT = 32_768;

const until = async (holds: () => boolean): Promise<void> => {
    while (!holds()) {
        await setImmediate();
    }
};

/** One end of a connection with all it has received. */
class Peer {
    readonly socket: Socket;
    received = "";
    ended = false;
    wasReset = false;

    constructor(socket: Socket) {
        this.socket = socket;
        socket.on("error", (err: NodeJS.ErrnoException) => this.wasReset = err.code === "ECONNRESET");
        socket.setEncoding("utf8");
        socket.on("data", (text: string) => {
            this.received += text;
        });
        // A reset closes without an end.
        for (const event of ["end", "close"]) {
            socket.once(event, () => {
                this.ended = true;
            });
        }
    }

    async receive(text: string): Promise<void> {
        await until(() => this.received.includes(text));
    }
}

interface Fixture {
    readonly proxy: FaultProxy;
    readonly connect: () => Promise<Peer>;
    /** The server's end of the next connection. */
    readonly accept: () => Promise<Peer>;
    /** A connection whose two ends have heard each other. */
    readonly join: () => Promise<readonly [Peer, Peer]>;
}

const startFixture = async (
    t: ExecutionContext,
    mode: ProxyMode = "pass",
    passesResets = false,
): Promise<Fixture> => {
    const accepted: Peer[] = [];
    const listener = new Listener(createServer({ allowHalfOpen: true }, socket => accepted.push(new Peer(socket))));
    const proxy = await startFaultProxy({ target: await listener.open(), faults: { mode }, passesResets });
    t.teardown(() => Promise.all([proxy.close(), listener.close()]));
    const connect = async (): Promise<Peer> => {
        const socket = createConnection({ ...proxy.address, allowHalfOpen: true });
        t.teardown(() => socket.destroy());
        await once(socket, "connect");
        return new Peer(socket);
    };
    const accept = async (): Promise<Peer> => {
        await until(() => accepted.length > 0);
        return accepted.shift() as Peer;
    };
    const join = async (): Promise<readonly [Peer, Peer]> => {
        const client = await connect();
        const server = await accept();
        await exchange(client, server, "hello");
        return [client, server];
    };
    return { proxy, connect, accept, join };
};

const exchange = async (client: Peer, server: Peer, text: string): Promise<void> => {
    client.socket.write(`${text} to server.`);
    server.socket.write(`${text} to client.`);
    await server.receive(`${text} to server.`);
    await client.receive(`${text} to client.`);
};

test("pass carries both directions and each end's close", async t => {
    const { join, proxy } = await startFixture(t);
    const [client, server] = await join();
    client.socket.end("last");
    await server.receive("last");
    await until(() => server.ended);
    server.socket.end("answer after the end");
    await client.receive("answer after the end");
    await until(() => client.ended && proxy.openConnections === 0);
    t.pass();
});

test("a large transfer arrives whole and in order", async t => {
    const { join, proxy } = await startFixture(t);
    await proxy.setFaults({ delayMs: 1 });
    const [client, server] = await join();
    const lines = Array.from({ length: 100_000 }, () => "0123456789").join(",");
    client.socket.end(lines);
    await until(() => server.ended);
    t.true(server.received.endsWith(lines));
});

test("cut destroys open connections and refuses new ones until pass", async t => {
    const { join, proxy, connect } = await startFixture(t);
    const [client, server] = await join();
    await proxy.setFaults({ mode: "cut" });
    await until(() => client.ended && server.ended);
    await t.throwsAsync(connect(), { code: "ECONNREFUSED" });
    await proxy.setFaults({ mode: "pass" });
    await join();
});

test("a proxy that is cut for a time listens on a port that no outgoing connection takes meanwhile", async t => {
    const { proxy } = await startFixture(t);
    t.true(proxy.address.port < FIRST_OUTGOING_PORT);
});

test("stall holds bytes back and delivers them on pass", async t => {
    const { join, proxy } = await startFixture(t);
    const [client, server] = await join();
    await proxy.setFaults({ mode: "stall" });
    client.socket.write("held.");
    const late = await startFixture(t);
    await late.join();
    t.false(server.received.includes("held."));
    await proxy.setFaults({ mode: "pass" });
    await exchange(client, server, "again");
    t.regex(server.received, /held\.again/);
});

test("stall accepts a new connection that reaches the target on pass", async t => {
    const { connect, accept, proxy } = await startFixture(t, "stall");
    const client = await connect();
    client.socket.write("early.");
    await proxy.setFaults({ mode: "pass" });
    await (await accept()).receive("early.");
    t.pass();
});

test("halfOpen loses bytes and closes while both ends look open, and what was lost breaks the connection", async t => {
    const { join, proxy } = await startFixture(t);
    const [client, server] = await join();
    const [closing, unaware] = await join();
    await proxy.setFaults({ mode: "halfOpen" });
    client.socket.write("lost.");
    closing.socket.end();
    await once(closing.socket, "finish");
    await (await startFixture(t)).join();
    t.false(unaware.ended);
    await proxy.setFaults({ mode: "pass" });
    await until(() => unaware.ended);
    client.socket.write("after.");
    server.socket.write("still heard.");
    await client.receive("still heard.");
    t.false(server.received.includes("lost."));
    t.false(server.received.includes("after."));
});

for (const mode of ["dropClientToServer", "dropServerToClient"] as const) {
    test(`${mode} loses one direction and carries the other`, async t => {
        const { join, proxy } = await startFixture(t);
        const [client, server] = await join();
        const [lost, heard] = mode === "dropClientToServer" ? [client, server] : [server, client];
        await proxy.setFaults({ mode });
        lost.socket.write("lost.");
        heard.socket.write("heard.");
        await lost.receive("heard.");
        await (await startFixture(t)).join();
        t.false(heard.received.includes("lost."));
        t.is(proxy.openConnections, 1);
    });
}

test("a delay holds back both directions and then delivers", async t => {
    const { join, proxy } = await startFixture(t);
    const [client, server] = await join();
    await proxy.setFaults({ delayMs: 20 });
    await exchange(client, server, "soon");
    await proxy.setFaults({ delayMs: 3_600_000 });
    client.socket.write("later.");
    server.socket.write("later.");
    await (await startFixture(t)).join();
    t.false(server.received.includes("later."));
    t.false(client.received.includes("later."));
});

test("a reset of either side resets the other one, and an end does not", async t => {
    const { join } = await startFixture(t, "pass", true);
    const [client, server] = await join();
    server.socket.resetAndDestroy();
    await until(() => client.ended);
    t.true(client.wasReset);
    const [leaving, left] = await join();
    leaving.socket.resetAndDestroy();
    await until(() => left.ended);
    t.true(left.wasReset);
    const [reader, writer] = await join();
    writer.socket.end("last");
    await reader.receive("last");
    await until(() => reader.ended);
    t.false(reader.wasReset);
});

test("a connection that is cut, or ends after it lost bytes, is reset where resets are passed", async t => {
    const { join, proxy } = await startFixture(t, "pass", true);
    const [first] = await join();
    await proxy.setFaults({ mode: "cut" });
    await until(() => first.ended);
    t.true(first.wasReset);
    await proxy.setFaults({ mode: "pass" });
    const [client, server] = await join();
    await proxy.setFaults({ mode: "dropServerToClient" });
    server.socket.end("lost");
    client.socket.write("heard.");
    await server.receive("heard.");
    await proxy.setFaults({ mode: "pass" });
    await until(() => client.ended);
    t.true(client.wasReset);
});

test("connections to a target that is down are refused whatever the faults are, and open ones end as it ends them", async t => {
    const { join, proxy, connect } = await startFixture(t, "pass", true);
    const [client, server] = await join();
    await proxy.setTargetDown(true);
    await proxy.setFaults({ delayMs: 1 });
    await t.throwsAsync(connect(), { code: "ECONNREFUSED" });
    server.socket.end("last");
    await client.receive("last");
    await until(() => client.ended);
    t.false(client.wasReset);
    await proxy.setTargetDown(false);
    await join();
});
