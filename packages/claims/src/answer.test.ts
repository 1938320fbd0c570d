import { OspreyError } from "@ospreyreel/errors";
import test from "ava";
import { Answer } from "./answer.js";

const HEAD = { status: 200, headers: {} };

const read = async (answer: Answer): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of answer.readBody()) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
};

test("every reader gets the response from its beginning, whenever it joins", async t => {
    const answer = new Answer(100);
    const early = read(answer);
    answer.start(HEAD);
    answer.write(Buffer.from("a"));
    const joined = read(answer);
    await answer.readHead();
    answer.write(Buffer.from("b"));
    answer.end();
    t.deepEqual(await Promise.all([early, joined, read(answer)]), ["ab", "ab", "ab"]);
    t.true(answer.done);
    t.is(answer.bytes, 2);
});

test("a failure reaches readers of the head, and readers of the body after the bytes received before it", async t => {
    const answer = new Answer(100);
    const head = answer.readHead();
    const body = read(answer);
    answer.fail(new OspreyError("cut", { result: "targetFailed" }));
    await t.throwsAsync(head, { message: "cut" });
    await t.throwsAsync(body, { message: "cut" });
    t.false(answer.readable);
});

test("only the first end of a response counts", async t => {
    const whole = new Answer(100);
    whole.start(HEAD);
    whole.end();
    whole.fail(new Error("late"));
    t.is(await read(whole), "");
    t.is(whole.error, undefined);
    const cut = new Answer(100);
    cut.fail(new Error("first"));
    cut.fail(new Error("second"));
    t.is(cut.error?.message, "first");
});

test("a response above the limit is whole for its current readers and unavailable to later ones", async t => {
    const answer = new Answer(3);
    answer.start(HEAD);
    const reading = read(answer);
    answer.write(Buffer.from("abcd"));
    t.true(answer.readable);
    answer.end();
    t.is(await reading, "abcd");
    t.false(answer.readable);
});
