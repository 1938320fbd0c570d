import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { StatusPort } from "./status-port.js";

const HOST = "127.0.0.1";

const startPort = async (): Promise<StatusPort> => {
    const port = new StatusPort({
        host: HOST,
        port: 0,
        answer: (_method, url) => ({ status: url.pathname === "/ready" ? 200 : 404 }),
    });
    await port.start();
    return port;
};

const getStatus = async (port: StatusPort, target: string): Promise<string | undefined> => {
    const socket = connect(port.listenPort, HOST);
    socket.write(`GET ${target} HTTP/1.1\r\nHost: instance\r\nConnection: close\r\n\r\n`);
    const [response] = await once(socket, "data") as [Buffer];
    socket.destroy();
    return /^HTTP\/1\.1 (\d+)/.exec(response.toString())?.[1];
};

test("a malformed request target does not end the process", async t => {
    const port = await startPort();
    t.teardown(() => port.close());
    t.is(await getStatus(port, "//"), "404");
    t.is(await getStatus(port, "http://%"), "404");
    t.is(await getStatus(port, ":80:80"), "400");
    t.is(await getStatus(port, "/ready"), "200");
});
