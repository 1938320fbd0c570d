import test from "ava";
import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { Http10Socket } from "./http10-socket.js";

for (const isSplit of [false, true]) {
    test(`a request of Node's client is sent as one of HTTP/1.0, its body ${isSplit ? "in parts" : "at once"}`, async t => {
        const server = createServer(socket => {
            let text = "";
            socket.on("data", data => {
                text += data.toString();
                if (text.endsWith("body")) {
                    socket.end(`HTTP/1.1 200 OK\r\n\r\n${text}`);
                }
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => server.close());
        const { address: host, port } = server.address() as AddressInfo;
        const req = request({
            host,
            port,
            createConnection: () => new Http10Socket().connect({ host, port }),
            method: "POST",
            path: "/x",
            headers: { "content-length": "4" },
        });
        if (isSplit) {
            req.write("bo");
            await once(req, "socket");
        }
        req.end(isSplit ? "dy" : "body");
        const [res] = await once(req, "response") as [AsyncIterable<Buffer>];
        let text = "";
        for await (const chunk of res) {
            text += chunk.toString();
        }
        t.regex(text, /^POST \/x HTTP\/1\.0\r\n/);
        t.true(text.endsWith("\r\n\r\nbody"));
    });
}
