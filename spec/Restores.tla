---- MODULE Restores ----
(* One budget on a KV service that comes back from an older copy now and then, which begins a new era. Three owners follow each
   other. An owner hands tokens out below the window of its last record and below each ceiling that a copy may hold; Expire is
   the passing of the age of the oldest copy. Whoever reads a record of the present era counts its window, and whoever reads an
   older one its ceiling. An owner that lives on after a restore goes on only if its witnesses were not sealed; Windows has the
   notes and seals. A takeover within an era seals the earlier owner. Half of what is left may be handed out before any
   ceiling is in each copy. *)
EXTENDS Naturals, FiniteSets

CONSTANTS Prepaid, MaxEra, MaxOwners, MaxWrites

Owners == 1..MaxOwners
Nobody == 0
Amounts == 0..Prepaid

VARIABLES era, rec, copies, alive, synced, sealed, window, low, latest, spent, used, writes

service == <<era, rec, copies>>
vars == <<era, rec, copies, alive, synced, sealed, window, low, latest, spent, used, writes>>

Min(a, b) == IF a < b THEN a ELSE b
Half(n) == n \div 2

(* A record is <<era, owner, window, ceiling, lowest ceiling that a copy may hold>>. *)
Fresh == <<1, Nobody, 0, 0, Half(Prepaid)>>

Init ==
    /\ era = 1
    /\ rec = Fresh
    /\ copies = {Fresh}
    /\ alive = [o \in Owners |-> TRUE]
    /\ synced = [o \in Owners |-> FALSE]
    /\ sealed = [o \in Owners |-> FALSE]
    /\ window = [o \in Owners |-> 0]
    /\ low = [o \in Owners |-> 0]
    /\ latest = [o \in Owners |-> 0]
    /\ spent = [o \in Owners |-> 0]
    /\ used = 0
    /\ writes = 0

IsOwner(o) ==
    /\ alive[o]
    /\ latest[o] > 0

(* The service. *)

Expire ==
    /\ copies # {rec}
    /\ copies' = {rec}
    /\ UNCHANGED <<era, rec, alive, synced, sealed, window, low, latest, spent, used, writes>>

Restore ==
    /\ era < MaxEra
    /\ \E r \in copies : rec' = r
    /\ era' = era + 1
    /\ synced' = [o \in Owners |-> FALSE]
    /\ UNCHANGED <<copies, alive, sealed, window, low, latest, spent, used, writes>>

(* Owners. *)

HandOut(o) ==
    /\ IsOwner(o)
    /\ spent[o] < Prepaid
    /\ spent[o] < window[o] \* GUARD within-window
    /\ spent[o] < low[o] \* GUARD below-each-ceiling
    /\ spent' = [spent EXCEPT ![o] = spent[o] + 1]
    /\ used' = used + 1
    /\ UNCHANGED <<service, alive, synced, sealed, window, low, latest, writes>>

Store(o, w, c, l) ==
    /\ rec' = <<era, o, w, c, l>>
    /\ copies' = copies \cup {rec'}
    /\ window' = [window EXCEPT ![o] = w]
    /\ latest' = [latest EXCEPT ![o] = c]
    /\ low' = [low EXCEPT ![o] = l]
    /\ synced' = [synced EXCEPT ![o] = TRUE]

Write(o, w, c) ==
    /\ IsOwner(o)
    /\ synced[o]
    /\ rec[2] = o
    /\ writes < MaxWrites
    /\ w > window[o]
    /\ c >= spent[o]
    /\ c >= w
    /\ Store(o, w, c, Min(low[o], c))
    /\ writes' = writes + 1
    /\ UNCHANGED <<era, alive, sealed, spent, used>>

(* An answer in the era of the owner's last record, after that record has become older than each copy. *)
Prove(o) ==
    /\ IsOwner(o)
    /\ synced[o]
    /\ rec[2] = o
    /\ copies = {rec} \* GUARD older-than-each-copy
    /\ low[o] # latest[o]
    /\ low' = [low EXCEPT ![o] = latest[o]]
    /\ UNCHANGED <<service, alive, synced, sealed, window, latest, spent, used, writes>>

(* After a restore an owner writes its record again, unless an owner of a later epoch has written one. *)
WriteAgain(o) ==
    /\ IsOwner(o)
    /\ ~synced[o]
    /\ rec[2] <= o
    /\ ~sealed[o] \* GUARD not-superseded
    /\ Store(o, window[o], latest[o], low[o])
    /\ UNCHANGED <<era, alive, sealed, spent, used, writes>>

IsNext(o) == \A p \in Owners : p < o => latest[p] > 0

(* The earlier owner may be alive; its window holds for it. *)
TakeOver(o) ==
    /\ alive[o] /\ latest[o] = 0 /\ IsNext(o)
    /\ rec[1] = era \* GUARD record-of-this-era
    /\ sealed' = [p \in Owners |-> sealed[p] \/ p < o]
    /\ spent' = [spent EXCEPT ![o] = rec[3]]
    /\ Store(o, rec[3], IF rec[4] > 0 THEN rec[4] ELSE rec[5], rec[5])
    /\ UNCHANGED <<era, alive, used, writes>>

(* Between the record's era and this one, one owner may have begun in each era and left no record. *)
TakeOverOutdated(o) ==
    LET restores == era - rec[1]
        ceiling == IF rec[4] > 0 THEN rec[4] ELSE rec[5]
        rest == Prepaid - ceiling
        lost == IF restores = 1 THEN 0 ELSE rest - Half(rest)
        more == IF restores = 1 THEN Half(rest) ELSE rest - Half(rest)
    IN
    /\ alive[o] /\ latest[o] = 0 /\ IsNext(o)
    /\ rec[1] < era
    /\ sealed' = [p \in Owners |-> sealed[p] \/ p < o]
    /\ spent' = [spent EXCEPT ![o] = ceiling + lost] \* GUARD each-lost-owner-counts
    /\ Store(o, ceiling + lost, ceiling + more, ceiling + more)
    /\ UNCHANGED <<era, alive, used, writes>>

Kill(o) ==
    /\ IsOwner(o)
    /\ alive' = [alive EXCEPT ![o] = FALSE]
    /\ UNCHANGED <<service, synced, sealed, window, low, latest, spent, used, writes>>

Next ==
    \/ Expire
    \/ Restore
    \/ \E o \in Owners : HandOut(o) \/ Prove(o) \/ WriteAgain(o) \/ TakeOver(o) \/ TakeOverOutdated(o) \/ Kill(o)
    \/ \E o \in Owners, w \in Amounts, c \in Amounts : Write(o, w, c)

Spec == Init /\ [][Next]_vars

NoOverspend == used <= Prepaid
====
