import test from "ava";
import { getCallerLimits } from "./caller-limits.js";

// Guards against callers' connections that are closed since the kernel's limit, which need not count connections, is taken for the platform's.
test("the descriptors of the settings count, and the kernel's limit where they name none", t => {
    t.like(getCallerLimits({ descriptors: 4_100 }, 200), {
        maxConnections: 2_050,
        maxServedConnections: 1_922,
        maxStatusConnections: 128,
    });
    t.like(getCallerLimits({ descriptors: 0 }, 200), { maxConnections: 100, maxStatusConnections: 16 });
    t.like(getCallerLimits({ descriptors: 4_100, maxConnections: 64 }, 200), {
        maxConnections: 64,
        maxServedConnections: 60,
    });
});
