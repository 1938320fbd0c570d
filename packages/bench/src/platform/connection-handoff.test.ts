import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** Body that takes long to read in relation to sending it, in bytes; below the limit of the desired state. */
const BODY = Buffer.alloc(900_000, "x");

const UPLOADERS = 8;
const REQUESTS = 10;

/** Time in which an instance hands connections off, or keeps them again, on a busy machine; in milliseconds. */
const CHANGE_MS = 20_000;

/** The part of the state dump that the tests read. */
interface State {
    readonly handoff: { readonly helper?: string; readonly connections: Readonly<Record<string, number>>; };
}

const getState = async ({ metrics }: PlatformInstance): Promise<State> =>
    await (await request(`http://${metrics}/state`)).body.json() as State;

/** Sends a large request for which there is no route, on a connection of its own, and reads the response. */
const upload = async ({ callers }: PlatformInstance, id: string): Promise<void> => {
    const [host = "", port = ""] = callers.split(":");
    const socket = connect(Number(port), host).on("error", () => undefined);
    const head = ["POST /none/ HTTP/1.1", "Host: users.example", `Attempt-Id: ${id}`, "Authorization: Bearer key-1"];
    socket.write(`${[...head, "Connection: close", `Content-Length: ${BODY.length}`].join("\r\n")}\r\n\r\n`);
    socket.write(BODY);
    socket.resume();
    await once(socket, "close");
};

const until = async (check: () => Promise<boolean>): Promise<boolean> => {
    const endsAtMs = performance.now() + CHANGE_MS;
    while (performance.now() < endsAtMs) {
        if (await check()) {
            return true;
        }
        await sleep(50);
    }
    return false;
};

test.serial("callers of an instance that has too much to do are served by another one, each request once", async t => {
    const fleet = await PlatformFleet.start();
    t.teardown(() => fleet.close());
    const [first] = fleet.instances;
    if (first === undefined) {
        throw new Error("no instances");
    }
    let isLoaded = true;
    const uploaders = Array.from({ length: UPLOADERS }, async (_, uploader) => {
        for (let turn = 0; isLoaded; turn++) {
            await upload(first, `upload-${uploader}-${turn}`);
        }
    });
    const isHandedOff = await until(async () => (await getState(first)).handoff.helper !== undefined);
    const answers = [];
    for (let turn = 0; turn < REQUESTS; turn++) {
        answers.push(await fleet.call(first, "/once/a"));
    }
    isLoaded = false;
    await Promise.all(uploaders);
    t.true(isHandedOff, fleet.logTails);
    t.deepEqual(answers.filter(({ status }) => status !== 200 && status !== 503), [], fleet.logTails);
    const served = answers.filter(({ status }) => status === 200).length;
    t.true(served > 0, fleet.logTails);
    const ids = fleet.ran.map(({ id }) => id);
    t.is(ids.length, served);
    t.is(new Set(ids).size, served);
    t.true(await until(async () => (await getState(first)).handoff.helper === undefined), fleet.logTails);
    t.is((await fleet.call(first, "/once/a")).status, 200);
});
