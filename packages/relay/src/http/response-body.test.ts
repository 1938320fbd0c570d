import test from "ava";
import { ResponseBody, type ResponseSource } from "./response-body.js";

const createSource = (overrides: Partial<ResponseSource> = {}): ResponseSource => ({
    pause: () => undefined,
    resume: () => undefined,
    abandon: () => undefined,
    ...overrides,
});

const createBody = (): ResponseBody => new ResponseBody(createSource());

test("chunks that arrive in one turn are returned as one", async t => {
    const body = createBody();
    const waiting = body.next();
    for (const text of ["a", "b", "c"]) {
        body.push(Buffer.from(text));
    }
    t.deepEqual(await waiting, { done: false, value: Buffer.from("abc") });
});

test("chunks are returned before the end and before a failure", async t => {
    const complete = createBody();
    complete.push(Buffer.from("a"));
    complete.end();
    t.deepEqual(await complete.next(), { done: false, value: Buffer.from("a") });
    t.deepEqual(await complete.next(), { done: true, value: undefined });
    const truncated = createBody();
    const waiting = truncated.next();
    truncated.push(Buffer.from("a"));
    truncated.fail(new Error("cut"));
    t.deepEqual(await waiting, { done: false, value: Buffer.from("a") });
    await t.throwsAsync(truncated.next(), { message: "cut" });
});

test("a body whose reading ends early is abandoned once, and one that had ended is not", async t => {
    let abandoned = 0;
    const abandon = (): void => {
        abandoned += 1;
        body.fail(new Error("abandoned"));
    };
    const body = new ResponseBody(createSource({ abandon }));
    await body.return();
    await body.return();
    t.is(abandoned, 1);
    const ended = new ResponseBody(createSource({ abandon: () => t.fail() }));
    ended.end();
    await ended.return();
});

test("the source is paused while its chunks are not read, and resumed by the next read", async t => {
    let isPaused = false;
    const body = new ResponseBody(createSource({
        pause: () => {
            isPaused = true;
        },
        resume: () => {
            isPaused = false;
        },
    }));
    body.push(Buffer.alloc(65_535));
    t.false(isPaused);
    body.push(Buffer.alloc(1));
    t.true(isPaused);
    await body.next();
    t.false(isPaused);
});
