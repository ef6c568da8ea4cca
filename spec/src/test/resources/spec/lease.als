// Leadership under a lease: holders that pause, fencing tokens, targets that check them and targets that do not.
// A line that ends in "guard: NAME" is a safeguard of the protocol; the test removes it and expects a counterexample.
module lease

open util/ordering[Token]

sig Token {}

sig Holder { var holds: lone Token }

// Holders whose lease has not expired on their own clock, less the margin.
var sig Active in Holder {}

one sig Service {
  var lease: lone Holder,
  var newestToken: lone Token
}

sig Order {
  sender: one Holder,
  token: one Token
}

var sig Sent in Order {}

// A target that checks fencing tokens, with the highest one that it has applied.
one sig CheckingTarget { var applied: lone Token }

pred unchangedLease { lease' = lease and newestToken' = newestToken and holds' = holds and Active' = Active }
pred unchangedOrders { Sent' = Sent and applied' = applied }

pred acquire[h: Holder, t: Token] {
  no Service.lease
  t = (no Service.newestToken => first else Service.newestToken.next)
  lease' = Service -> h
  newestToken' = Service -> t
  holds' = holds ++ h -> t
  Active' = Active + h
  unchangedOrders
}

// The lease expires on the holder's clock, which also runs while the holder is paused.
pred expireAtHolder[h: Holder] {
  h in Active
  Active' = Active - h
  lease' = lease and newestToken' = newestToken and holds' = holds
  unchangedOrders
}

// The lease expires at the service. The margin ensures that it has expired on the holder's clock before.
pred expireAtService {
  some Service.lease
  Service.lease not in Active // guard: margin
  no lease'
  newestToken' = newestToken and holds' = holds and Active' = Active
  unchangedOrders
}

pred send[o: Order] {
  o not in Sent
  o.token = o.sender.holds
  o.sender in Active // guard: clock
  Sent' = Sent + o
  applied' = applied
  unchangedLease
}

// A target receives an order, possibly late.
pred receive[o: Order] {
  o in Sent
  no CheckingTarget.applied or gte[o.token, CheckingTarget.applied] // guard: fencing
  applied' = CheckingTarget -> o.token
  Sent' = Sent
  unchangedLease
}

pred stutter { unchangedLease and unchangedOrders }

fact Behaviour {
  no Service.lease and no Service.newestToken and no holds and no Active and no Sent and no applied
  always (
    (some h: Holder, t: Token | acquire[h, t]) or
    (some h: Holder | expireAtHolder[h]) or
    expireAtService or
    (some o: Order | send[o] or receive[o]) or
    stutter
  )
}

assert OneHolderActs { always lone Active }
assert OrdersUnderLease { always all o: Order | (o not in Sent and after (o in Sent)) implies Service.lease = o.sender }
assert NoOldOrderApplied {
  always all t: Token | (CheckingTarget.applied = t) implies after gte[CheckingTarget.applied, t]
}

run Works { eventually some disj a, b: Order | a.sender != b.sender and a + b in Sent } for 3 but 10 steps
check OneHolderActs for 3 but 8 steps
check OrdersUnderLease for 3 but 8 steps
check NoOldOrderApplied for 3 but 10 steps
