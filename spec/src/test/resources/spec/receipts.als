// Receipts of one idempotency key: entries that pause, crash and lose answers, attempts that give up.
module receipts

sig Attempt {}

one sig Store { var reserved: lone Attempt }

// Attempts that know that the reservation is theirs, that gave up, that were answered "not run", and that ran.
var sig Knows in Attempt {}
var sig Abandoned in Attempt {}
var sig ToldNotRun in Attempt {}
var sig Ran in Attempt {}

pred unchanged { Knows' = Knows and Abandoned' = Abandoned and ToldNotRun' = ToldNotRun and Ran' = Ran }

// The put takes effect. The answer may be lost: then the attempt does not know.
pred reserve[a: Attempt] {
  no Store.reserved // guard: absent
  reserved' = Store -> a
  Knows' = Knows or Knows' = Knows + a
  Abandoned' = Abandoned and ToldNotRun' = ToldNotRun and Ran' = Ran
}

pred readBack[a: Attempt] {
  Store.reserved = a
  Knows' = Knows + a
  reserved' = reserved and Abandoned' = Abandoned and ToldNotRun' = ToldNotRun and Ran' = Ran
}

// Runs, perhaps long after a pause.
pred dispatch[a: Attempt] {
  a not in Ran
  a in Knows // guard: reserved
  a not in Abandoned // guard: abandoned
  Ran' = Ran + a
  reserved' = reserved and Knows' = Knows and Abandoned' = Abandoned and ToldNotRun' = ToldNotRun
}

pred abandon[a: Attempt] {
  a not in Ran // guard: unsent
  Abandoned' = Abandoned + a
  ToldNotRun' = ToldNotRun + a
  reserved' = reserved and Knows' = Knows and Ran' = Ran
}

// Another attempt takes over a reservation whose holder gave it up.
pred takeOver[a: Attempt] {
  some Store.reserved and a not in Abandoned
  Store.reserved in Abandoned // guard: holder
  reserved' = Store -> a
  Knows' = Knows + a
  Abandoned' = Abandoned and ToldNotRun' = ToldNotRun and Ran' = Ran
}

pred stutter { reserved' = reserved and unchanged }

fact Behaviour {
  no reserved and no Knows and no Abandoned and no ToldNotRun and no Ran
  always ((some a: Attempt | reserve[a] or readBack[a] or dispatch[a] or abandon[a] or takeOver[a]) or stutter)
}

assert AtMostOnce { always lone Ran }
assert NotRunIsTrue { always no (ToldNotRun & Ran) }

run Works { eventually some Ran } for 3 but 6 steps
run TakesOver { eventually (some Abandoned and some Ran) } for 3 but 8 steps
check AtMostOnce for 3 but 8 steps
check NotRunIsTrue for 3 but 8 steps
