---- MODULE Windows ----
(* One budget and one take-over of it. The owner hands tokens out within a window that it has written to the KV service,
   or within a note that a majority of its witnesses keep (two of three here, three of five in the code: any two majorities meet). The record in the KV service is replaced under a condition on
   its revision; a write that was sent may take effect at any later time or never. The taker reads the record, seals
   witnesses and replaces the record, and counts as used what its floor says. The owner may go on at any later time. A
   witness that has ended or cannot be reached is one that is not sealed. Later take-overs are the same again, from the floor on. *)
EXTENDS Naturals, FiniteSets

CONSTANTS Prepaid, MaxRevision, MaxWrites

Witnesses == {1, 2, 3}
Amounts == 0..Prepaid
Open == 99

VARIABLES revision, window, limit, ownRevision, ownWindow, cap, noted, spent, busy, writes, notes, sealed, claim, floor

record == <<revision, window, limit>>
owner == <<ownRevision, ownWindow, cap, noted, spent, busy>>
taker == <<claim, floor>>
vars == <<record, owner, writes, notes, sealed, taker>>

Max(a, b) == IF a > b THEN a ELSE b
Min(a, b) == IF a < b THEN a ELSE b

Init ==
    /\ revision = 1
    /\ window = 0
    /\ limit = 0
    /\ ownRevision = 1
    /\ ownWindow = 0
    /\ cap = 0
    /\ noted = 0
    /\ spent = 0
    /\ busy = FALSE
    /\ writes = {}
    /\ notes = [w \in Witnesses |-> 0]
    /\ sealed = {}
    /\ claim = <<0, 0, 0>>
    /\ floor = Open

(* Owner. *)

HandOut ==
    /\ spent < Prepaid
    /\ spent < Max(ownWindow, noted) \* GUARD within-bounds
    /\ spent' = spent + 1
    /\ UNCHANGED <<record, ownRevision, ownWindow, cap, noted, busy, writes, notes, sealed, taker>>

SendWrite(w, l) ==
    /\ ~busy
    /\ ownRevision < MaxRevision
    /\ Cardinality(writes) < MaxWrites
    /\ w >= Max(ownWindow, noted) \* GUARD window-never-shrinks
    /\ l >= w
    /\ writes' = writes \cup {<<ownRevision, w, l>>}
    /\ busy' = TRUE
    /\ cap' = Min(cap, l) \* GUARD lower-limit-at-once
    /\ UNCHANGED <<record, ownRevision, ownWindow, noted, spent, notes, sealed, taker>>

TakeEffect(m) ==
    /\ revision < MaxRevision
    /\ revision = m[1] \* GUARD write-compares-revision
    /\ revision' = revision + 1
    /\ window' = m[2]
    /\ limit' = m[3]
    /\ UNCHANGED <<owner, writes, notes, sealed, taker>>

Learn ==
    /\ busy
    /\ floor = Open
    /\ busy' = FALSE
    /\ ownRevision' = revision
    /\ ownWindow' = IF revision = ownRevision THEN ownWindow ELSE window
    /\ cap' = IF revision = ownRevision THEN cap ELSE limit
    /\ UNCHANGED <<record, noted, spent, writes, notes, sealed, taker>>

TakeNote(w, upTo) ==
    /\ w \notin sealed \* GUARD no-note-after-seal
    /\ upTo > notes[w]
    /\ upTo <= cap
    /\ notes' = [notes EXCEPT ![w] = upTo]
    /\ UNCHANGED <<record, owner, writes, sealed, taker>>

Noted(upTo) ==
    /\ upTo > noted
    /\ upTo <= cap \* GUARD noted-within-present-limit
    /\ Cardinality({w \in Witnesses : notes[w] >= upTo}) >= 2 \* GUARD two-witnesses
    /\ noted' = upTo
    /\ UNCHANGED <<record, ownRevision, ownWindow, cap, spent, busy, writes, notes, sealed, taker>>

(* Taking over. *)

ReadRecord ==
    /\ floor = Open
    /\ claim[1] # revision
    /\ claim' = <<revision, window, limit>>
    /\ UNCHANGED <<record, owner, writes, notes, sealed, floor>>

Seal(w) ==
    /\ claim[1] > 0
    /\ w \notin sealed
    /\ sealed' = sealed \cup {w}
    /\ UNCHANGED <<record, owner, writes, notes, taker>>

HasQuorum ==
    /\ Cardinality(sealed) >= 2 \* GUARD two-seals

Highest(f) ==
    /\ f >= claim[2]
    /\ \A w \in sealed : f >= notes[w] \* GUARD floor-by-notes

Commit(f) ==
    /\ floor = Open
    /\ claim[1] > 0
    /\ revision = claim[1] \* GUARD claim-compares-revision
    /\ HasQuorum => Highest(f)
    /\ ~HasQuorum => f >= claim[3] \* GUARD floor-by-limit
    /\ floor' = f
    /\ revision' = MaxRevision + 1
    /\ UNCHANGED <<window, limit, owner, writes, notes, sealed, claim>>

Next ==
    \/ HandOut
    \/ Learn
    \/ ReadRecord
    \/ \E w \in Witnesses : Seal(w)
    \/ \E f \in Amounts : Commit(f)
    \/ \E w \in Amounts, l \in Amounts : SendWrite(w, l)
    \/ \E w \in Witnesses, upTo \in Amounts : TakeNote(w, upTo)
    \/ \E upTo \in Amounts : Noted(upTo)
    \/ \E m \in writes : TakeEffect(m)

Spec == Init /\ [][Next]_vars

(* What the owner hands out in all, before the take-over or after it, the taker counts as used. *)
UseIsCounted == floor = Open \/ spent <= floor
====
