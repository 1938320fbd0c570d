import test from "ava";
import { createHash } from "node:crypto";
import { hashKey } from "./hash-key.js";

test("hashKey returns the hexadecimal SHA-256 of the key", async t => {
    const key = "schlüssel-of-alpha";
    t.is(await hashKey(key), createHash("sha256").update(key).digest("hex"));
});

test("an empty key or one with white space throws a RangeError", async t => {
    for (const key of ["", "a b", "a\n"]) {
        await t.throwsAsync(hashKey(key), { instanceOf: RangeError });
    }
});
