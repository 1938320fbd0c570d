import { createInstanceInfo } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { orderOwners } from "./budget-shards.js";

test("load pattern, a few large instances among many small ones: the large ones own all shards, and share them", t => {
    const small = [...Array(40).keys()].map(at => createInstanceInfo(`small-${at}`, 0.3));
    const large = [...Array(4).keys()].map(at => createInstanceInfo(`large-${at}`, 1.35));
    const owners = [...Array(200).keys()].map(shard => orderOwners(shard, [...small, ...large])[0]?.instance ?? "");
    t.true(owners.every(owner => owner.startsWith("large")));
    t.is(new Set(owners).size, 4);
});

test("equal instances all own shards, and the loss of one moves only its shards", t => {
    const all = [...Array(8).keys()].map(at => createInstanceInfo(`i-${at}`));
    const before = [...Array(200).keys()].map(shard => orderOwners(shard, all)[0]?.instance);
    const after = [...Array(200).keys()].map(shard => orderOwners(shard, all.slice(1))[0]?.instance);
    t.is(new Set(before).size, 8);
    t.true(before.every((owner, shard) => owner === "i-0" || owner === after[shard]));
});
