// Duties: a lease with holders that pause, fencing numbers, targets that check them and targets that do not.
// A line that ends in "guard: NAME" is a mechanism; the test removes it and expects a counterexample.
module lease

open util/ordering[Fence]

sig Fence {}

sig Holder { var holds: lone Fence }

// Holders whose own clock, less the margin, still runs.
var sig Fresh in Holder {}

one sig Service {
  var lease: lone Holder,
  var newest: lone Fence
}

sig Order {
  by: one Holder,
  number: one Fence
}

var sig Sent in Order {}

// A target that checks fencing numbers.
one sig Checking { var applied: lone Fence }

pred unchangedLease { lease' = lease and newest' = newest and holds' = holds and Fresh' = Fresh }
pred unchangedOrders { Sent' = Sent and applied' = applied }

pred acquire[h: Holder, f: Fence] {
  no Service.lease
  f = (no Service.newest => first else Service.newest.next)
  lease' = Service -> h
  newest' = Service -> f
  holds' = holds ++ h -> f
  Fresh' = Fresh + h
  unchangedOrders
}

// Time passes for a holder, also while it is paused.
pred runOut[h: Holder] {
  h in Fresh
  Fresh' = Fresh - h
  lease' = lease and newest' = newest and holds' = holds
  unchangedOrders
}

// The service lets the lease go: after the holder's own clock has run out, thanks to the margin.
pred lapse {
  some Service.lease
  Service.lease not in Fresh // guard: margin
  no lease'
  newest' = newest and holds' = holds and Fresh' = Fresh
  unchangedOrders
}

pred send[o: Order] {
  o not in Sent
  o.number = o.by.holds
  o.by in Fresh // guard: clock
  Sent' = Sent + o
  applied' = applied
  unchangedLease
}

// An order arrives, perhaps late.
pred arrive[o: Order] {
  o in Sent
  no Checking.applied or gte[o.number, Checking.applied] // guard: fencing
  applied' = Checking -> o.number
  Sent' = Sent
  unchangedLease
}

pred stutter { unchangedLease and unchangedOrders }

fact Behaviour {
  no Service.lease and no Service.newest and no holds and no Fresh and no Sent and no applied
  always (
    (some h: Holder, f: Fence | acquire[h, f]) or
    (some h: Holder | runOut[h]) or
    lapse or
    (some o: Order | send[o] or arrive[o]) or
    stutter
  )
}

assert OneHolderActs { always lone Fresh }
assert OrdersUnderLease { always all o: Order | (o not in Sent and after (o in Sent)) implies Service.lease = o.by }
assert NoOldOrderApplied {
  always all f: Fence | (Checking.applied = f) implies after gte[Checking.applied, f]
}

run Works { eventually some disj a, b: Order | a.by != b.by and a + b in Sent } for 3 but 10 steps
check OneHolderActs for 3 but 8 steps
check OrdersUnderLease for 3 but 8 steps
check NoOldOrderApplied for 3 but 10 steps
