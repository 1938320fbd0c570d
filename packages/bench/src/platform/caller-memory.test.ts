import test from "ava";
import { once } from "node:events";
import { readFile } from "node:fs/promises";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, type PlatformInstance, toAddress } from "./platform-fleet.js";

/** Memory of the smallest instance of the users' sites, in KiB. */
const MAX_MEMORY_KIB = 250 * 1_000 * 1_000 / 1_024;

/** Requests to sound callers meanwhile, one after the other. */
const SOUND_REQUESTS = 20;

/** Time in which a refused request gets its answer, and a served one its target's, in milliseconds. */
const ANSWER_MS = 15_000;

const BLOCK_BYTES = 65_536;

/** How callers send bodies; each below the limit of the desired state. */
interface BodyCase {
    readonly title: string;
    readonly callers: number;
    readonly framing: string;
    /** Statuses where the request is refused beside the others. */
    readonly refusals: readonly number[];
    /** Bytes on the wire, without the head. */
    readonly createBody: () => Buffer;
}

const createPieces = (): Buffer => Buffer.concat([Buffer.from("1\r\nx\r\n".repeat(400_000)), Buffer.from("0\r\n\r\n")]);

const CASES: readonly BodyCase[] = [
    {
        title: "bodies in chunks of one byte",
        callers: 10,
        framing: "Transfer-Encoding: chunked",
        // The limit of all unfinished requests may be reached before that of small parts.
        refusals: [413, 503],
        createBody: createPieces,
    },
    {
        title: "many large bodies at once",
        callers: 300,
        framing: "Content-Length: 900000",
        refusals: [503],
        createBody: () => Buffer.alloc(900_000, "x"),
    },
];

const readPeakMemoryKib = async ({ process }: PlatformInstance): Promise<number> => {
    const status = await readFile(`/proc/${process.pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]);
};

/** Sends a request whose body comes in blocks; returns the status of its answer, 0 where there is none. */
const upload = async (
    { callers }: PlatformInstance,
    { id, framing, body }: { readonly id: string; readonly framing: string; readonly body: Buffer; },
): Promise<number> => {
    const socket = connect(toAddress(callers)).on("error", () => undefined);
    let answer = "";
    const answered = new Promise<void>(resolve => {
        socket.on("data", chunk => {
            answer += chunk.toString("latin1");
            resolve();
        }).once("close", () => resolve());
    });
    const head = [
        "POST /once/x HTTP/1.1",
        "Host: users.example",
        `Attempt-Id: ${id}`,
        "Deadline-Ms: 12000",
        "Authorization: Bearer key-1",
        framing,
    ];
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    for (let at = 0; at < body.length && !socket.destroyed && answer === ""; at += BLOCK_BYTES) {
        if (!socket.write(body.subarray(at, at + BLOCK_BYTES))) {
            await Promise.race([once(socket, "drain").catch(() => undefined), answered]);
        }
    }
    await Promise.race([answered, sleep(ANSWER_MS)]);
    socket.destroy();
    return Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0);
};

// Guards against limits for crowds that refuse what is within the limits of the desired state.
test.serial("one body in chunks of one byte is served while nothing else is read", async t => {
    const fleet = await PlatformFleet.start({ count: 1 });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        return t.fail();
    }
    t.is((await fleet.ask(instance, 10)).status, 200);
    const framing = "Transfer-Encoding: chunked";
    t.is(await upload(instance, { id: fleet.nextId(), framing, body: createPieces() }), 200);
});

// Guards against a process that the platform ends for its memory, and with it the requests of all other callers.
for (const { title, callers, framing, refusals, createBody } of CASES) {
    test.serial(`${title} take no more memory than an instance has, and no other caller's answer`, async t => {
        const fleet = await PlatformFleet.start({ count: 1, plains: { stepMs: 2_000 } });
        t.teardown(() => fleet.close());
        const [instance] = fleet.instances;
        if (instance === undefined) {
            return t.fail();
        }
        // The first request of a team waits for its budget.
        t.is((await fleet.ask(instance, 10)).status, 200);
        const body = createBody();
        const ids = Array.from({ length: callers }, () => fleet.nextId());
        const uploads = ids.map(id => upload(instance, { id, framing, body }));
        const sound = [];
        for (let at = 0; at < SOUND_REQUESTS; at++) {
            const answer = await fleet.ask(instance, 10);
            sound.push(answer.status === 200 ? 200 : `${answer.status} ${answer.body}`);
            await sleep(50);
        }
        const statuses = await Promise.all(uploads);
        const peakKib = await readPeakMemoryKib(instance);
        const ran = new Set(fleet.ran.map(run => run.id));
        t.log(
            `peak ${Math.round(peakKib / 1_024)} MiB; ${
                [...new Set(statuses)].map(status => `${statuses.filter(it => it === status).length} of ${status}`)
                    .join(", ")
            }`,
        );
        t.true(peakKib < MAX_MEMORY_KIB, `${peakKib} KiB`);
        t.deepEqual(sound, sound.map(() => 200));
        t.true(statuses.every(status => status === 200 || refusals.includes(status)), statuses.join());
        t.deepEqual(ids.filter((id, at) => ran.has(id) && refusals.includes(statuses[at] ?? 0)), []);
    });
}

/** Below the descriptors that an instance of the users' sites has. */
const UNFINISHED_HEADS = 3_000;

/** More than the limit of the desired state. */
const UNFINISHED_HEAD_BYTES = 60_000;

test.serial("heads that do not end take no more memory than an instance has, and no other caller's answer", async t => {
    const fleet = await PlatformFleet.start({ count: 1 });
    t.teardown(() => fleet.close());
    const [instance] = fleet.instances;
    if (instance === undefined) {
        return t.fail();
    }
    t.is((await fleet.ask(instance, 10)).status, 200);
    const head = `POST /once/x HTTP/1.1\r\nHost: users.example\r\nx: ${"y".repeat(UNFINISHED_HEAD_BYTES)}`;
    const refusals = new Set<string>();
    const sockets = Array.from(
        { length: UNFINISHED_HEADS },
        () =>
            connect(toAddress(instance.callers)).on("error", () => undefined)
                .on("data", chunk => refusals.add(chunk.toString("latin1").split("\r\n", 1)[0] ?? "")),
    );
    t.teardown(() => sockets.forEach(socket => socket.destroy()));
    sockets.forEach(socket => socket.write(head));
    const sound = [];
    for (let at = 0; at < SOUND_REQUESTS; at++) {
        const { status, body } = await fleet.ask(instance, 10);
        sound.push(status === 200 ? 200 : `${status} ${body}`);
        await sleep(50);
    }
    const peakKib = await readPeakMemoryKib(instance);
    t.log(`peak ${Math.round(peakKib / 1_024)} MiB; ${[...refusals].join(", ")}`);
    t.true(peakKib < MAX_MEMORY_KIB, `${peakKib} KiB`);
    t.deepEqual(sound, sound.map(() => 200));
});
