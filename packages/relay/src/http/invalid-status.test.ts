import test from "ava";
import { type RawAnswer, requestOnce, startRelayPath } from "../fixtures/relay-path.js";

const respond = (status: string): RawAnswer => socket =>
    socket.write(`HTTP/1.1 ${status} X\r\nid: request-1\r\ncontent-length: 4\r\n\r\npart`);

// Guards against bytes of a target in trouble that reach a caller as a response.
for (const status of ["000", "099", "600", "999", "1000", "20"]) {
    test(`a response with the status ${status} is relayed as none`, async t => {
        const path = await startRelayPath([respond(status)], { kind: "non_idempotent" });
        t.teardown(() => path.close());
        const { text } = await requestOnce(path.callerPort);
        t.true(text.startsWith("HTTP/1.1 502"), text);
        t.false(text.includes("part"));
    });
}

test("an idempotent request whose response has no valid status is sent to another target", async t => {
    const path = await startRelayPath([respond("600"), respond("200")]);
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.startsWith("HTTP/1.1 200"));
    t.is(path.seen.length, 2);
});
