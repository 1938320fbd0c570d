import test from "ava";
import fc from "fast-check";
import { PrefixHistory } from "./prefix-history.js";

test("the history of prefixes stays within its bounds", t => {
    const anyAdds = fc.array(fc.tuple(fc.nat(9).map(String), fc.nat(9).map(String)), { maxLength: 100 });
    fc.assert(fc.property(anyAdds, adds => {
        const history = new PrefixHistory({ maxPrefixes: 4, maxTargets: 2 });
        adds.forEach(([prefix, target]) => history.add(prefix, target));
        const last = adds.at(-1);
        return history.size <= 4 && (last === undefined || history.has(...last));
    }));
    t.pass();
});

test("an evicted prefix is removed for that target only", t => {
    const history = new PrefixHistory();
    history.add("p", "ahd-1");
    history.add("p", "vad-1");
    history.remove("p", "ahd-1");
    t.false(history.has("p", "ahd-1"));
    t.true(history.has("p", "vad-1"));
    history.remove("p", "vad-1");
    t.is(history.size, 0);
});
