import test from "ava";
import { BudgetWitness } from "./budget-witness.js";

const note = (epoch: number, upTo: number) => ({ notes: [{ shard: 1, epoch, budget: "team", upTo }] });

test("a sealed epoch takes no further note, and its highest one is told", t => {
    const witness = new BudgetWitness();
    t.true(witness.note(note(3, 10)));
    t.true(witness.note(note(3, 8)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: { team: 10 } });
    t.false(witness.note(note(3, 20)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: { team: 10 } });
});

test("an epoch that was sealed before its first note takes none", t => {
    const witness = new BudgetWitness();
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: {} });
    t.false(witness.note(note(3, 1)));
});

test("a later epoch is noted, an earlier one no more", t => {
    const witness = new BudgetWitness();
    t.true(witness.note(note(3, 10)));
    t.true(witness.note(note(4, 1)));
    t.false(witness.note(note(3, 11)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 4 }), { upTo: { team: 1 } });
});

test("of several notes all are taken or none", t => {
    const witness = new BudgetWitness();
    witness.seal({ shard: 1, epoch: 3 });
    const both = { notes: [{ shard: 2, epoch: 1, budget: "other", upTo: 5 }, ...note(3, 1).notes] };
    t.false(witness.note(both));
    t.deepEqual(witness.seal({ shard: 2, epoch: 1 }), { upTo: {} });
});
