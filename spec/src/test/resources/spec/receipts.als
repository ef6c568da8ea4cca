// Receipt of one idempotency key: entries that pause or crash, lost responses, and attempts that are abandoned.
module receipts

sig Attempt {}

one sig Store { var reserved: lone Attempt }

// Attempts that know that the reservation is theirs, that were abandoned, that were reported as not run, and that ran.
var sig Confirmed in Attempt {}
var sig Abandoned in Attempt {}
var sig ReportedNotRun in Attempt {}
var sig Ran in Attempt {}

pred unchanged { Confirmed' = Confirmed and Abandoned' = Abandoned and ReportedNotRun' = ReportedNotRun and Ran' = Ran }

// The put takes effect. The response may be lost; then the attempt does not know that the reservation is its own.
pred reserve[a: Attempt] {
  no Store.reserved // guard: absent
  reserved' = Store -> a
  Confirmed' = Confirmed or Confirmed' = Confirmed + a
  Abandoned' = Abandoned and ReportedNotRun' = ReportedNotRun and Ran' = Ran
}

pred readBack[a: Attempt] {
  Store.reserved = a
  Confirmed' = Confirmed + a
  reserved' = reserved and Abandoned' = Abandoned and ReportedNotRun' = ReportedNotRun and Ran' = Ran
}

// The attempt is dispatched and runs, possibly after a long pause.
pred dispatch[a: Attempt] {
  a not in Ran
  a in Confirmed // guard: reserved
  a not in Abandoned // guard: abandoned
  Ran' = Ran + a
  reserved' = reserved and Confirmed' = Confirmed and Abandoned' = Abandoned and ReportedNotRun' = ReportedNotRun
}

pred abandon[a: Attempt] {
  a not in Ran // guard: unsent
  Abandoned' = Abandoned + a
  ReportedNotRun' = ReportedNotRun + a
  reserved' = reserved and Confirmed' = Confirmed and Ran' = Ran
}

// Another attempt takes over a reservation that its holder has abandoned.
pred takeOver[a: Attempt] {
  some Store.reserved and a not in Abandoned
  Store.reserved in Abandoned // guard: holder
  reserved' = Store -> a
  Confirmed' = Confirmed + a
  Abandoned' = Abandoned and ReportedNotRun' = ReportedNotRun and Ran' = Ran
}

pred stutter { reserved' = reserved and unchanged }

fact Behaviour {
  no reserved and no Confirmed and no Abandoned and no ReportedNotRun and no Ran
  always ((some a: Attempt | reserve[a] or readBack[a] or dispatch[a] or abandon[a] or takeOver[a]) or stutter)
}

assert AtMostOnce { always lone Ran }
assert NotRunIsTrue { always no (ReportedNotRun & Ran) }

run Works { eventually some Ran } for 3 but 6 steps
run TakesOver { eventually (some Abandoned and some Ran) } for 3 but 8 steps
check AtMostOnce for 3 but 8 steps
check NotRunIsTrue for 3 but 8 steps
