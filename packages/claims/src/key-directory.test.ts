import test from "ava";
import { KeyDirectory } from "./key-directory.js";

const announcement = (requestKey: string, runner: string): Parameters<KeyDirectory["announce"]>[0] => ({
    team: "alpha",
    requestKey,
    runner,
});

test("announce returns a key's earlier runners in order, without the announcing one", t => {
    const directory = new KeyDirectory();
    t.deepEqual(directory.announce(announcement("k", "a")), []);
    t.deepEqual(directory.announce(announcement("k", "a")), []);
    t.deepEqual(directory.announce(announcement("k", "b")), ["a"]);
    t.deepEqual(directory.announce(announcement("k", "c")), ["a", "b"]);
    t.deepEqual(directory.announce(announcement("k", "a")), ["b", "c"]);
    t.deepEqual(directory.announce(announcement("other", "c")), []);
    t.deepEqual(directory.announce({ ...announcement("k", "c"), team: "beta" }), []);
});

test("keys are evicted once the retention time has passed since their last announcement", t => {
    let nowMs = 0;
    const directory = new KeyDirectory({ keepMs: 100, now: () => nowMs });
    directory.announce(announcement("early", "a"));
    directory.announce(announcement("again", "a"));
    nowMs = 60;
    directory.announce(announcement("again", "b"));
    nowMs = 120;
    t.deepEqual(directory.announce(announcement("again", "c")), ["a", "b"]);
    t.is(directory.size, 1);
    t.deepEqual(directory.announce(announcement("early", "b")), []);
});

test("the numbers of keys and of runners are bounded; the oldest are evicted first", t => {
    const directory = new KeyDirectory({ maxKeys: 3 });
    ["k", "l", "m", "n"].forEach(key => directory.announce(announcement(key, "a")));
    t.is(directory.size, 3);
    t.deepEqual(directory.announce(announcement("n", "b")), ["a"]);
    t.deepEqual(directory.announce(announcement("k", "b")), []);
    Array.from({ length: 40 }, (_, index) => directory.announce(announcement("k", `r-${index}`)));
    t.deepEqual(
        directory.announce(announcement("k", "b")),
        Array.from({ length: 16 }, (_, index) => `r-${index + 24}`),
    );
});
