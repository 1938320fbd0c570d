import { OspreyError } from "@ospreyreel/errors";
import test from "ava";
import { SharedResponse } from "./shared-response.js";

const HEAD = { status: 200, headers: {} };

const read = async (response: SharedResponse): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of response.readBody()) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
};

test("every reader gets the response from its beginning, whenever it joins", async t => {
    const response = new SharedResponse(100);
    const early = read(response);
    response.start(HEAD);
    response.write(Buffer.from("a"));
    const joined = read(response);
    await response.readHead();
    response.write(Buffer.from("b"));
    response.end();
    t.deepEqual(await Promise.all([early, joined, read(response)]), ["ab", "ab", "ab"]);
    t.true(response.isDone);
    t.is(response.bytes, 2);
});

test("a failure reaches readers of the head, and readers of the body after the bytes received before it", async t => {
    const response = new SharedResponse(100);
    const head = response.readHead();
    const body = read(response);
    response.fail(new OspreyError("cut", { result: "targetFailed" }));
    await t.throwsAsync(head, { message: "cut" });
    await t.throwsAsync(body, { message: "cut" });
    t.false(response.isReadable);
});

test("only the first end of a response counts", async t => {
    const whole = new SharedResponse(100);
    whole.start(HEAD);
    whole.end();
    whole.fail(new Error("late"));
    t.is(await read(whole), "");
    t.is(whole.error, undefined);
    const cut = new SharedResponse(100);
    cut.fail(new Error("first"));
    cut.fail(new Error("second"));
    t.is(cut.error?.message, "first");
});

test("a response above the limit is whole for its current readers and unavailable to later ones", async t => {
    const response = new SharedResponse(3);
    response.start(HEAD);
    const reading = read(response);
    response.write(Buffer.from("abcd"));
    t.true(response.isReadable);
    response.end();
    t.is(await reading, "abcd");
    t.false(response.isReadable);
});
