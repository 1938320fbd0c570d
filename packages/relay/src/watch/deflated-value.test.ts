import test from "ava";
import { deflateValue, inflateValue } from "./deflated-value.js";

const LARGE = Buffer.from(Array.from({ length: 2_000 }, (_, at) => `{"name":"route-${at}"}`).join());

test("a large value is sent compressed and is read back unchanged", t => {
    const sent = deflateValue(LARGE, true);
    t.true(sent.value.length < LARGE.length / 4);
    t.deepEqual(Buffer.from(inflateValue(sent)), LARGE);
    t.is(deflateValue(LARGE, true).value, sent.value);
});

test("a small value, and one for an instance of an older version, are sent as they are", t => {
    const small = Buffer.from("small");
    t.deepEqual(deflateValue(small, true), { value: small });
    t.deepEqual(deflateValue(LARGE), { value: LARGE });
    t.is(inflateValue({ value: LARGE }), LARGE);
});

test("a value that is not compressed correctly is an error", t => {
    t.throws(() => inflateValue({ value: Buffer.from("no compressed value"), isDeflated: true }));
});
