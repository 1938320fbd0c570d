---- MODULE Borrowers ----
(* One budget, its owner (1), the owner that takes it over (2), and two borrowers. The first owner may go on within its window after the
   take-over, since it does not know of it; the second one counts that window as used. A borrower draws one token at a time, from either
   owner, and tells what it has received in the epoch that it knows. What an owner has handed out and the borrower has not received was
   lost in transit, and is handed out again. Each received token is used at once. *)
EXTENDS Naturals, FiniteSets

CONSTANTS Prepaid, Window

Owners == {1, 2}
Borrowers == {1, 2}

VARIABLES isTaken, isOwner, out, handed, epoch, received, used

vars == <<isTaken, isOwner, out, handed, epoch, received, used>>

Limit(o) == IF o = 1 THEN Window ELSE Prepaid

Init ==
    /\ isTaken = FALSE
    /\ isOwner = [o \in Owners |-> o = 1]
    /\ out = [o \in Owners |-> 0]
    /\ handed = [o \in Owners |-> [b \in Borrowers |-> 0]]
    /\ epoch = [b \in Borrowers |-> 0]
    /\ received = [b \in Borrowers |-> 0]
    /\ used = 0

TakeOver ==
    /\ ~isTaken
    /\ isTaken' = TRUE
    /\ isOwner' = [isOwner EXCEPT ![2] = TRUE]
    /\ out' = [out EXCEPT ![2] = Window] \* GUARD window-counts-as-used
    /\ UNCHANGED <<handed, epoch, received, used>>

(* An owner that is drawn on in a later epoch gives the budget up. *)
GiveUp(b, o) ==
    /\ isOwner[o]
    /\ epoch[b] > o
    /\ isOwner' = [isOwner EXCEPT ![o] = FALSE]
    /\ UNCHANGED <<isTaken, out, handed, epoch, received, used>>

Received(b, o) == IF epoch[b] = o THEN received[b] ELSE 0

(* Use that an owner counts once it has taken back what a borrower did not receive. *)
Counted(b, o) == out[o] - (handed[o][b] - Received(b, o))

(* The response arrives, or is lost. *)
Draw(b, o, arrives) ==
    /\ isOwner[o]
    /\ epoch[b] <= o \* GUARD later-epoch-refused
    /\ Counted(b, o) < Limit(o)
    /\ out' = [out EXCEPT ![o] = Counted(b, o) + 1]
    /\ handed' = [handed EXCEPT ![o] = [handed[o] EXCEPT ![b] = Received(b, o) + 1]]
    /\ epoch' = IF arrives THEN [epoch EXCEPT ![b] = o] ELSE epoch
    /\ received' = IF arrives THEN [received EXCEPT ![b] = Received(b, o) + 1] ELSE received
    /\ used' = IF arrives THEN used + 1 ELSE used
    /\ UNCHANGED <<isTaken, isOwner>>

Next ==
    \/ TakeOver
    \/ \E b \in Borrowers, o \in Owners : GiveUp(b, o)
    \/ \E b \in Borrowers, o \in Owners, arrives \in {TRUE, FALSE} : Draw(b, o, arrives)

Spec == Init /\ [][Next]_vars

NotOverspent == used <= Prepaid
====
