import test from "ava";
import { type ForwardedRequest, ForwardSignature } from "./forward-signature.js";

const KEY = "key of the fleet";

const createRequest = (change: Partial<ForwardedRequest> = {}): ForwardedRequest => ({
    to: "incarnation-1",
    method: "POST",
    path: "/v1/services/tickets/open?urgent=1",
    headers: { authorization: "Bearer key-of-alpha", "idempotency-key": "visit-1", "content-type": "text/plain" },
    body: Buffer.from("pump"),
    ...change,
});

test("a signature is valid for an instance with the same key only", t => {
    const value = new ForwardSignature(KEY).sign(createRequest());
    t.true(new ForwardSignature(KEY).verify(createRequest(), value));
    t.false(new ForwardSignature("key of another fleet").verify(createRequest(), value));
});

test("a signature is invalid for another request or another incarnation", t => {
    const signature = new ForwardSignature(KEY);
    const value = signature.sign(createRequest());
    const { headers } = createRequest();
    const others: readonly Partial<ForwardedRequest>[] = [
        { to: "incarnation-2" },
        { method: "PUT" },
        { path: "/v1/services/tickets/open?urgent=2" },
        { headers: { ...headers, authorization: "Bearer key-of-beta" } },
        { headers: { ...headers, "idempotency-key": "visit-2" } },
        { headers: { ...headers, "content-type": "text/html" } },
        { headers: { authorization: "Bearer key-of-alpha", "idempotency-key": "visit-1" } },
        { body: Buffer.from("pumps") },
        { body: Buffer.alloc(0) },
    ];
    for (const change of others) {
        t.false(signature.verify(createRequest(change), value), JSON.stringify(change));
    }
});

test("malformed signatures are rejected without an error", t => {
    const signature = new ForwardSignature(KEY);
    const value = signature.sign(createRequest());
    for (const wrong of ["", "1", "%", value.slice(1), `${value}AAAA`, "é".repeat(43), `${value}, ${value}`]) {
        t.false(signature.verify(createRequest(), wrong), wrong);
    }
});

test("moving bytes from one signed part to another invalidates the signature", t => {
    const signature = new ForwardSignature(KEY);
    const value = signature.sign(createRequest({ method: "POST", path: "/a" }));
    t.false(signature.verify(createRequest({ method: "POST/", path: "a" }), value));
});
