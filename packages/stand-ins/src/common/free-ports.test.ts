import test from "ava";
import { getFreePorts } from "./free-ports.js";

test("ports that are taken at the same time all differ and lie below those of outgoing connections", async t => {
    const ports = (await Promise.all(Array.from({ length: 20 }, () => getFreePorts(4)))).flat();
    t.is(new Set(ports).size, 80);
    t.true(ports.every(port => port > 10_000 && port < 32_768));
});
