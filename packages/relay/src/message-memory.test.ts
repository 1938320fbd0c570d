import test from "ava";
import { MessageMemory } from "./message-memory.js";

test("large responses leave room for small ones, however many there are", t => {
    const memory = new MessageMemory(1_000_000);
    const large = Array.from({ length: 99 }, () => memory.open());
    for (const response of large) {
        let bytes = 0;
        t.throws(() => {
            for (;;) {
                response.resize(bytes += 1_000);
            }
        }, { message: /too much memory/ });
    }
    t.true(memory.heldBytes < 1_000_000);
    const [first] = large;
    first?.release();
    t.notThrows(() => memory.open().resize(1_000));
});

test("a response may be as large as what is free, and releases what it held", t => {
    const memory = new MessageMemory(1_000);
    const response = memory.open();
    response.resize(500);
    t.throws(() => response.resize(501));
    t.is(memory.heldBytes, 500);
    response.resize(100);
    t.is(memory.heldBytes, 100);
    response.release();
    response.release();
    t.is(memory.heldBytes, 0);
    t.false(response.tryResize(1));
    t.is(memory.heldBytes, 0);
});
