import test from "ava";
import { type RawAnswer, requestOnce, startRelayPath } from "../fixtures/relay-path.js";

const HEADS = {
    "with a length": "HTTP/1.1 200 OK\r\nid: request-1\r\nContent-Length: 5\r\n\r\n",
    "in chunks": "HTTP/1.1 200 OK\r\nid: request-1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "without a length": "HTTP/1.1 200 OK\r\nid: request-1\r\nServer: x\r\n\r\n",
    "without a body": "HTTP/1.1 204 No Content\r\nid: request-1\r\nServer: x\r\n\r\n",
};

/** Sends a part of a head and ends the connection, in order or by a reset. */
const cutHead = (part: string, ending: "closed" | "reset"): RawAnswer => socket => {
    if (ending === "closed") {
        socket.end(part);
    }
    else {
        socket.write(part, () => setTimeout(() => socket.resetAndDestroy(), 5));
    }
};

for (const kind of ["idempotent", "non_idempotent", "streaming"] as const) {
    for (const [name, head] of Object.entries(HEADS)) {
        for (const ending of ["closed", "reset"] as const) {
            test(`a response ${name} that is ${ending} within its head is no success, for a request of kind ${kind}`, async t => {
                const lengths = Array.from({ length: Math.ceil(head.length / 3) }, (_, index) => 3 * index);
                const cuts = [
                    ...new Set([...lengths, head.length - 4, head.length - 3, head.length - 2, head.length - 1]),
                ];
                const answers = cuts.map(length => cutHead(head.slice(0, length), ending));
                const path = await startRelayPath(answers, { kind, maxAttempts: 1 });
                t.teardown(() => path.close());
                for (const length of cuts) {
                    const { text } = await requestOnce(path.callerPort);
                    t.notRegex(text, /^HTTP\/1\.1 2/, `cut after ${JSON.stringify(head.slice(0, length))}`);
                }
            });
        }
    }
}
