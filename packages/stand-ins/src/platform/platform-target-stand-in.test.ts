import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformTargetStandIn, STAND_IN_HEADERS } from "./platform-target-stand-in.js";

const EVENTS = 6;

/** Time for each event, in milliseconds, and time after which some of them have arrived. */
const STEP_MS = 20;
const BEGUN_MS = 90;

const start = async (t: ExecutionContext): Promise<PlatformTargetStandIn> => {
    const target = new PlatformTargetStandIn({ id: "model-1", service: "model", events: EVENTS, stepMs: STEP_MS });
    await target.start();
    t.teardown(() => target.close());
    return target;
};

/** What a caller receives until the end of its connection. */
const receive = async (
    target: PlatformTargetStandIn,
    headers: Readonly<Record<string, string>> = {},
): Promise<{ readonly text: string; readonly wasReset: boolean; }> => {
    const socket = connect(target.address);
    let [text, wasReset] = ["", false];
    socket.on("data", data => text += data.toString());
    socket.on("error", () => wasReset = true);
    // A reset that arrives with data is reported as an end, and leaves no address.
    socket.prependOnceListener("end", () => wasReset = socket.remoteAddress === undefined);
    const lines = Object.entries({ "expect-instance": target.id, ...headers }).map(([name, value]) =>
        `${name}: ${value}`
    );
    socket.write(["POST /x HTTP/1.1", "host: x", "attempt-id: a", "content-length: 0", ...lines, "", ""].join("\r\n"));
    await new Promise(resolve => socket.once("close", resolve));
    return { text, wasReset };
};

const countEvents = (text: string): number => text.match(/^data: a$/gm)?.length ?? 0;

for (const framing of ["none", "length", "chunks"]) {
    test(`a killed target ends its connections in order between two events and refuses new ones, framing ${framing}`, async t => {
        const target = await start(t);
        const received = receive(target, { [STAND_IN_HEADERS.framing]: framing });
        await sleep(BEGUN_MS);
        const { address } = target;
        await target.close();
        const { text, wasReset } = await received;
        t.false(wasReset);
        t.true(text.trimEnd().endsWith("data: a"));
        t.true(countEvents(text) > 0 && countEvents(text) < EVENTS, text);
        const [err] = await once(connect(address), "error") as [NodeJS.ErrnoException];
        t.is(err.code, "ECONNREFUSED");
        t.is(target.ran[0]?.end?.how, "crashed");
        target.rename("model-1-2");
        await target.start();
        t.is(target.getEntry()[0], "servers/model-1-2");
        t.is(countEvents((await receive(target, { [STAND_IN_HEADERS.framing]: "none" })).text), EVENTS);
    });

    for (const how of [STAND_IN_HEADERS.resetAfter, STAND_IN_HEADERS.closeAfter]) {
        for (const isBetweenEvents of [true, false]) {
            test(`a stream ends early, framing ${framing}, ${how}, ${isBetweenEvents ? "between two events" : "within one"}`, async t => {
                const target = await start(t);
                const { text, wasReset } = await receive(target, {
                    [STAND_IN_HEADERS.framing]: framing,
                    [how]: "2",
                    [STAND_IN_HEADERS.betweenEvents]: String(isBetweenEvents),
                });
                t.is(wasReset, how === STAND_IN_HEADERS.resetAfter);
                t.is(countEvents(text), 2);
                t.is(text.includes("id: 3\nda"), !isBetweenEvents);
                t.false(text.includes("\r\n0\r\n"));
                const isWhole = framing === "none" && how === STAND_IN_HEADERS.closeAfter && isBetweenEvents;
                t.is(target.ran[0]?.end?.how, isWhole ? "complete" : "brokenOff");
                t.is(target.ran[0]?.end?.lastEvent, isWhole ? 2 : undefined);
            });
        }
    }
}
