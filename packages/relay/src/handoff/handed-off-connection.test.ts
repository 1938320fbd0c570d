import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerExchange, type ResponseHead } from "../caller-exchange.js";
import { type HandoffPairOptions, startHandoffPair } from "../fixtures/handoff-pair.js";
import { createRequest } from "../fixtures/plain-protocol.js";
import { startRawHelper } from "../fixtures/raw-helper.js";
import { createRawRequest, openCaller, readUntilEnd, startRelayPath } from "../fixtures/relay-path.js";
import { MessageMemory } from "../message-memory.js";
import { REFUSAL_STATUS, type RelayRefusal } from "../relay-refusal.js";
import { HandedOffConnection, type HandoffEnd, type RequestTerms } from "./handed-off-connection.js";
import { TICKET_BYTES } from "./handoff-preamble.js";

const HOST = "127.0.0.1";
const LONG_MS = 60_000;
const REPEATABLE = (): RequestTerms => ({ acquireRepeat: () => true, endsAtMs: performance.now() + LONG_MS });

/** Resolves whether a condition is met within some time. */
const isMetWithin = async (ms: number, isMet: () => boolean): Promise<boolean> => {
    const endsAtMs = performance.now() + ms;
    while (!isMet() && performance.now() < endsAtMs) {
        await sleep(10);
    }
    return isMet();
};

/** Collects what arrives on a connection, and how it ends. */
const collect = (socket: Socket) => {
    const seen = { text: "", end: "" };
    socket.on("data", chunk => seen.text += chunk.toString("latin1"));
    socket.on("error", (err: NodeJS.ErrnoException) => seen.end ||= err.code ?? "error");
    socket.on("close", () => seen.end ||= "closed");
    return seen;
};

/** Opens a caller's connection, which is closed with the test. */
const open = async (t: ExecutionContext, port: number, requests: string): Promise<Socket> => {
    const socket = await openCaller(port, requests);
    t.teardown(() => socket.destroy());
    return socket;
};

const start = async (t: ExecutionContext, opts: HandoffPairOptions = {}) => {
    const pair = await startHandoffPair(opts);
    t.teardown(() => pair.close());
    await pair.start();
    t.true(await isMetWithin(10_000, () => pair.handoff.isActive));
    return pair;
};

/** Starts a pair whose helper is a bare socket; `serve` gets each connection after its ticket was read. */
const startRaw = async (
    t: ExecutionContext,
    onData: (socket: Socket, read: string) => void,
    terms?: RequestTerms,
) => {
    const pair = await startHandoffPair(terms === undefined ? {} : { terms });
    const helper = await startRawHelper(pair, socket => {
        let read = Buffer.alloc(0);
        socket.on("data", chunk => {
            read = Buffer.concat([read, chunk]);
            if (read.length > TICKET_BYTES) {
                onData(socket, read.toString("latin1", TICKET_BYTES));
            }
        });
    });
    t.teardown(() => helper.close());
    t.true(await isMetWithin(10_000, () => pair.handoff.isActive));
    return { ...pair, sockets: helper.sockets, lose: pair.loseLarge };
};

// Guards against kept connections that are closed early since they count as new ones after their return.
test("a kept connection that was returned may stay idle for longer than a new one", async t => {
    const { ports, policy, handoff } = await start(t);
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.endsWith("\r\n\r\na")));
    policy.isHandingOff = false;
    t.true(await isMetWithin(5_000, () => handoff.openConnections === 0));
    // Past the time for a head (3 s), and a third of the idle time (15 s).
    await sleep(5_000);
    t.is(seen.end, "");
    t.notRegex(seen.text, / 408 /);
    caller.destroy();
});

// Guards against open requests that are reset where the parser here rejects what the helper's accepts.
for (
    const [name, header] of [
        ["that offers an upgrade", "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAM\r\n"],
        ["with a header in UTF-8", `name: ${Buffer.from("č").toString("latin1")}\r\n`],
    ] as const
) {
    test(`a request ${name} is answered once its helper is lost`, async t => {
        const pair = await start(t, { terms: REPEATABLE(), serve: () => new Promise(() => undefined) });
        const caller = await open(t, pair.ports.small.listenPort, "");
        const seen = collect(caller);
        caller.write(Buffer.from(createRawRequest("a", header), "latin1"));
        t.true(await isMetWithin(5_000, () => pair.requests.length === 1));
        pair.cut();
        await isMetWithin(2_000, () => seen.text !== "" || seen.end !== "");
        t.is(seen.end, "");
        t.regex(seen.text, /served-by: small/);
        caller.destroy();
    });
}

// Guards against a connection that never comes back, and is reset though it is idle.
test("a response with a header in UTF-8 does not end the following of its connection", async t => {
    const pair = await start(t, {
        serve: async (_req, caller) =>
            await caller.sendResponse(
                { status: 200, headers: [["name", Buffer.from("č").toString("latin1")]], isFramed: true },
                Buffer.from("whole"),
            ),
    });
    const caller = await open(t, pair.ports.small.listenPort, createRawRequest("a"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.endsWith("whole")));
    pair.cut();
    caller.write(createRawRequest("b"));
    await isMetWithin(2_000, () => seen.text.includes("served-by: small") || seen.end !== "");
    t.is(seen.end, "");
    t.regex(seen.text, /served-by: small/);
    caller.destroy();
});

// Guards against a request that is served with other bytes than its caller sent.
test("a body that arrives in the middle of an interim response is served whole here", async t => {
    const { ports, requests, sockets, lose } = await startRaw(t, () => undefined, REPEATABLE());
    const caller = await open(
        t,
        ports.small.listenPort,
        createRawRequest("a", "Content-Length: 8\r\nExpect: 100-continue\r\n"),
    );
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => sockets.length === 1));
    sockets[0]?.write("HTTP/1.1 100 Con");
    t.true(await isMetWithin(5_000, () => seen.text.includes("100 Con")));
    caller.write("1234");
    await sleep(200);
    sockets[0]?.write("tinue\r\n\r\n");
    t.true(await isMetWithin(5_000, () => seen.text.includes("tinue")));
    caller.write("5678");
    await sleep(200);
    lose();
    // Without the first half, what comes next would be taken for the rest of the body.
    caller.write(createRawRequest("b"));
    await isMetWithin(2_000, () => requests.length === 2);
    t.deepEqual(requests.map(({ id, body }) => [id, body.toString()]), [["a", "12345678"], ["b", ""]]);
    caller.destroy();
});

// Guards against requests that count as interrupted though their helper has read none of them.
test("a helper that takes this instance for lost still accepts its ticket until that is renewed", async t => {
    const { ports, hubs, requests } = await start(t);
    hubs.large.sendChange({ kind: "lost", info: hubs.small.self() });
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    const seen = collect(caller);
    await isMetWithin(3_000, () => seen.text !== "" || seen.end !== "");
    t.deepEqual(requests.map(({ id, isInterrupted }) => [id, isInterrupted]), [["a", false]]);
    caller.destroy();
});

// Guards against a request that waits for ever.
test("a helper that is lost while a connection to it is opened keeps no request", async t => {
    const pair = await startRaw(t, () => undefined, REPEATABLE());
    const accepted = createServer().listen(0, HOST);
    await once(accepted, "listening");
    t.teardown(() => accepted.close());
    const taken = once(accepted, "connection") as Promise<[Socket]>;
    const caller = await open(t, (accepted.address() as AddressInfo).port, createRawRequest("a"));
    const [socket] = await taken;
    t.teardown(() => socket.destroy());
    let isServed = false;
    t.true(pair.handoff.handOff(socket, () => {
        isServed = true;
    }));
    pair.lose();
    t.true(await isMetWithin(3_000, () => isServed));
    caller.destroy();
    socket.destroy();
});

// Guards against connections that are kept for ever.
test("a connection whose last response announced its end is closed once its helper is lost", async t => {
    const { ports, handoff, lose } = await startRaw(t, socket => {
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
    }, REPEATABLE());
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.endsWith("ab")));
    lose();
    t.true(await isMetWithin(3_000, () => handoff.openConnections === 0));
    caller.destroy();
});

for (const coding of ["gzip, chunked", ", chunked"]) {
    test(`a request with the transfer coding "${coding}" is served through a helper`, async t => {
        const { ports, requests } = await start(t);
        const caller = await open(
            t,
            ports.small.listenPort,
            `${createRawRequest("a", `Transfer-Encoding: ${coding}\r\n`)}3\r\nabc\r\n0\r\n\r\n`,
        );
        collect(caller);
        await isMetWithin(2_000, () => requests.length === 1);
        t.deepEqual(requests.map(({ body }) => body.toString()), ["abc"]);
        caller.destroy();
    });
}

// Guards against a head that callers which end it with the connection take for a whole response.
test("a response that breaks off in its head is not closed in order", async t => {
    const { ports } = await startRaw(t, socket => {
        socket.write("HTTP/1.1 200 OK\r\nserved-by: large\r\n", () => setTimeout(() => socket.destroy(), 100));
    }, REPEATABLE());
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    t.is((await readUntilEnd(caller)).end, "reset");
});

// Guards against a whole response that a reset takes away from its caller.
test("a response that was sent before its request had arrived is not reset at the end of a stop", async t => {
    const { ports, handoff } = await startRaw(t, socket => {
        socket.write("HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
    }, REPEATABLE());
    const caller = await open(t, ports.small.listenPort, createRawRequest("a", "Content-Length: 1000000\r\n"));
    caller.write("x");
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.endsWith("ab")));
    handoff.stop();
    handoff.closeAll();
    await isMetWithin(4_000, () => seen.end !== "");
    t.is(seen.end, "closed");
});

// Guards against a stream that is cut though its helper serves it, since its route is no longer there.
test("a begun stream of a route that was removed goes on through a helper that counts as lost", async t => {
    const { ports, sockets, lose } = await startRaw(t, socket => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    });
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.includes("abc")));
    lose();
    await sleep(1_500);
    sockets[0]?.write("0\r\n\r\n");
    await isMetWithin(1_000, () => seen.text.endsWith("0\r\n\r\n"));
    t.is(seen.end, "");
    t.true(seen.text.endsWith("0\r\n\r\n"));
    caller.destroy();
});

test("a caller that has closed its direction does no harm when its helper is lost", async t => {
    const { ports, handoff, sockets, lose } = await startRaw(t, () => undefined, REPEATABLE());
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    collect(caller);
    t.true(await isMetWithin(5_000, () => sockets.length === 1));
    caller.end();
    await sleep(200);
    lose();
    t.true(await isMetWithin(1_000, () => handoff.openConnections === 0));
    await sleep(200);
    const idle = await open(t, ports.small.listenPort, createRawRequest("b"));
    const seen = collect(idle);
    t.true(await isMetWithin(2_000, () => seen.text.includes("served-by: small")));
    idle.destroy();
});

test("a large body is served whole here after its helper has stopped reading it", async t => {
    const BYTES = 3_000_000;
    const { ports, requests, sockets, lose } = await startRaw(t, socket => {
        socket.pause();
    }, REPEATABLE());
    const caller = await open(t, ports.small.listenPort, createRawRequest("a", `Content-Length: ${BYTES}\r\n`));
    const seen = collect(caller);
    const body = Buffer.alloc(BYTES, "0123456789");
    caller.write(body);
    caller.write(createRawRequest("b"));
    t.true(await isMetWithin(5_000, () => sockets.length === 1));
    await sleep(300);
    lose();
    await isMetWithin(5_000, () => requests.length === 2);
    // The buffers of the connection to the helper may have taken all of the body.
    t.deepEqual(requests.map(({ id }) => id), ["a", "b"]);
    t.true(requests[0]?.body.equals(body));
    await isMetWithin(2_000, () => seen.text.endsWith("\r\n\r\nb"));
    caller.destroy();
});

// Guards against an answer that another request on its connection gets.
test("a request that waits behind one whose response cannot be followed is not left out", async t => {
    const release: (() => void)[] = [];
    const pair = await start(t, {
        serve: async (req, caller) => {
            if (req.id === "a") {
                await new Promise<void>(resolve => release.push(resolve));
            }
            const name = Buffer.from("č").toString("latin1");
            await caller.sendResponse(
                { status: 200, headers: [["name", name]], isFramed: true },
                Buffer.from(`[${req.id}]`),
            );
        },
    });
    const caller = await open(t, pair.ports.small.listenPort, createRawRequest("a") + createRawRequest("b"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => release.length === 1));
    release.forEach(resolve => resolve());
    t.true(await isMetWithin(5_000, () => seen.text.includes("[a]")));
    await sleep(200);
    caller.write(createRawRequest("c"));
    t.true(await isMetWithin(5_000, () => seen.text.includes("[c]")));
    t.deepEqual(seen.text.match(/\[.\]/g), ["[a]", "[b]", "[c]"]);
});

/** A caller of the relay that notes its response. */
class NotingCaller extends CallerExchange {
    readonly disconnectSignal = new AbortController().signal;
    status = 0;

    override sendResponse({ status }: ResponseHead): Promise<void> {
        this.status = status;
        return Promise.resolve();
    }

    override startStream(): void {
        this.status = 200;
    }

    override sendEvents(): Promise<void> {
        return Promise.resolve();
    }

    override endStream(): void {
        this.status = 200;
    }

    override abortStream(): void {
        this.status = -1;
    }

    override refuse({ reason }: RelayRefusal): void {
        this.status = REFUSAL_STATUS[reason];
    }
}

// Guards against requests that are taken from a helper that may come back, and then fail for want of a retry.
test("no more open requests are taken from a lost helper than retries last for", async t => {
    const path = await startRelayPath([(socket, request) => {
        const id = /id: (\S+)/.exec(request)?.[1] ?? "";
        socket.write(`HTTP/1.1 200 OK\r\nid: ${id}\r\nContent-Length: 2\r\n\r\nok`);
    }]);
    t.teardown(() => path.close());
    const requests = Array.from({ length: 150 }, (_, at) => createRequest({ id: `request-${at}` }));
    const taken = requests.filter(req => path.relay.getTerms(req)?.acquireRepeat() === true);
    const statuses = await Promise.all(taken.map(async req => {
        const caller = new NotingCaller();
        await path.relay.serve({ ...req, isInterrupted: true, hasRepeat: true }, caller);
        return caller.status;
    }));
    const failed = statuses.filter(status => status !== 200).length;
    t.log(`${taken.length} taken, ${failed} of them failed (${[...new Set(statuses)].join(", ")})`);
    t.is(failed, 0);
});

// Guards against a request that was sent as the body of another one.
test("the rest of a body behind a response that cannot be followed is not read as a request", async t => {
    const release: (() => void)[] = [];
    const pair = await start(t, {
        serve: async (req, caller) => {
            if (req.id === "a") {
                await new Promise<void>(resolve => release.push(resolve));
            }
            const name = Buffer.from("č").toString("latin1");
            await caller.sendResponse(
                { status: 200, headers: [["name", name]], isFramed: true },
                Buffer.from(`[${req.id}]`),
            );
        },
    });
    const body = createRawRequest("smuggled");
    const second = createRawRequest("b", `Content-Length: ${body.length}\r\n`);
    const caller = await open(t, pair.ports.small.listenPort, createRawRequest("a") + second);
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => release.length === 1));
    release.forEach(resolve => resolve());
    t.true(await isMetWithin(5_000, () => seen.text.includes("[a]")));
    caller.write(body);
    await isMetWithin(3_000, () => pair.requests.length === 2);
    t.deepEqual(pair.requests.map(({ id }) => id), ["a", "b"]);
});

// Guards against a response that broke off and looks whole.
test("an unframed response that breaks off is reset though its caller has closed its direction", async t => {
    const { ports, sockets, lose } = await startRaw(t, socket => {
        if (socket.bytesWritten === 0) {
            socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        }
    }, REPEATABLE());
    // The caller goes on reading after its own end.
    const caller = connect({ port: ports.small.listenPort, host: HOST, allowHalfOpen: true });
    t.teardown(() => caller.destroy());
    caller.write(createRawRequest("a"));
    const seen = collect(caller);
    t.true(await isMetWithin(5_000, () => seen.text.endsWith("part")));
    caller.end();
    await sleep(200);
    // As the end of its process would be.
    lose();
    sockets[0]?.destroy();
    t.true(await isMetWithin(3_000, () => seen.end !== ""));
    t.not(seen.end, "closed");
});

/** Responses that a helper breaks off with a reset, which arrives together with the last bytes. */
const BROKEN_RESPONSES = [
    { name: "unframed", head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", part: "id: 1\n\n" },
    { name: "chunked", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", part: "7\r\nid: 1\n\n\r\n" },
] as const;

for (const { name, head, part } of BROKEN_RESPONSES) {
    // Guards against a stream that its target broke off and that ends in order, since Node.js reports the helper's reset as an end.
    test(`a stream that its helper breaks off with a reset is reset, ${name}`, async t => {
        const { ports, counts } = await startRaw(t, socket => {
            socket.write(head + part, () => socket.resetAndDestroy());
        }, REPEATABLE());
        const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
        const { text, end } = await readUntilEnd(caller);
        t.true(text.endsWith(part), text);
        t.is(end, "reset");
        t.is(counts.get("handed_off_responses_cut"), 1);
    });
}

// Guards against a whole response that is cut: after its caller's own end the helper's end cannot be told from a reset.
test("an unframed response that ends in order is whole for a caller that has closed its direction", async t => {
    const { ports } = await startRaw(t, socket => {
        socket.once("end", () => socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"));
    }, REPEATABLE());
    const caller = connect({ port: ports.small.listenPort, host: HOST, allowHalfOpen: true });
    t.teardown(() => caller.destroy());
    const seen = collect(caller);
    caller.end(createRawRequest("a"));
    t.true(await isMetWithin(3_000, () => seen.end !== ""));
    t.true(seen.text.endsWith("whole"));
    t.is(seen.end, "closed");
});

// Guards against targets that are given time which the caller no longer has.
test("the time of a request whose body was arriving goes on when it is served here", async t => {
    const { ports, handoff, cut, requests } = await start(t);
    const caller = await open(t, ports.small.listenPort, createRawRequest("a", "Content-Length: 4\r\n"));
    collect(caller);
    const sentAtMs = performance.now();
    caller.write("12");
    t.true(await isMetWithin(5_000, () => handoff.openConnections === 1));
    await sleep(1_000);
    cut();
    caller.write("34");
    t.true(await isMetWithin(5_000, () => requests.length === 1));
    const lateMs = (requests[0]?.arrivedAtMs ?? Infinity) - sentAtMs;
    t.log(`counts as arrived after ${Math.round(lateMs)} ms`);
    t.true(lateMs < 500);
});

// Guards against whole responses that are cut since their caller reads them slowly.
test("a slow caller gets the whole response of a helper that counted as lost for a while", async t => {
    const BYTES = 20_000_000;
    const { ports, lose, hubs, counts } = await startRaw(t, socket => {
        if (socket.bytesWritten === 0) {
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BYTES}\r\n\r\n`);
            socket.write(Buffer.alloc(BYTES, "x"));
        }
    }, { acquireRepeat: () => false, endsAtMs: performance.now() + 1_500 });
    const caller = await open(t, ports.small.listenPort, createRawRequest("a"));
    let bytes = 0;
    let end = "";
    caller.on("error", (err: NodeJS.ErrnoException) => end ||= err.code ?? "error").on("close", () => end ||= "closed");
    await sleep(300);
    lose();
    await sleep(300);

    hubs.small.sendChange({ kind: "joined", info: hubs.large.self() });
    await sleep(3_000);
    caller.on("data", chunk => bytes += chunk.length);
    await isMetWithin(5_000, () => bytes > BYTES || end !== "");
    t.log(`${bytes} of ${BYTES} bytes, ${end}, cut: ${counts.get("handed_off_responses_cut") ?? 0}`);
    t.is(end, "");
    t.true(bytes > BYTES);
});

/** Opens a connection that sends nothing until it is released. */
const openHeld = () => {
    let isReleased = false;
    let finishWrite: (() => void) | undefined;
    const socket = new Duplex({
        // What arrives is pushed by the test.
        read: () => undefined,
        write: (_chunk, _encoding, callback) => {
            finishWrite = () => callback();
            if (isReleased) {
                callback();
            }
        },
    });
    const release = (): void => {
        isReleased = true;
        finishWrite?.();
    };
    return { socket, release };
};

// Guards against responses that a stopping instance cuts, since their connections no longer count once they are written.
test("a connection counts as open until its caller has its last response", async t => {
    const { socket: caller, release } = openHeld();
    const { socket: helper } = openHeld();
    const ends: HandoffEnd[] = [];
    new HandedOffConnection({
        caller: caller as unknown as Socket,
        helper: helper as unknown as Socket,
        getTerms: () => undefined,
        confirmEnd: () => Promise.resolve(true),
        serveHere: () => undefined,
        isStopping: () => true,
        memory: new MessageMemory(1_000_000),
        onEnd: end => ends.push(end),
    });
    caller.push(createRawRequest("a"));
    await sleep(50);
    helper.push("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole");
    helper.push(null);
    await sleep(50);
    t.true(caller.writableLength > 0);
    t.deepEqual(ends, []);
    release();
    t.true(await isMetWithin(5_000, () => ends.length > 0));
    t.deepEqual(ends, ["closed"]);
});
