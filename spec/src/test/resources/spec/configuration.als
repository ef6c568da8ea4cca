// Configuration: concurrent operators, lost responses, relays, and nodes that pull from peers and restart.
module configuration

open util/ordering[Revision]

sig Revision {}

sig Plan { base: one Revision }

one sig Store {
  var stored: one Revision,
  var applied: Revision -> lone Plan
}

// Plans whose operator was notified that they were accepted, or that another change came first.
var sig Accepted in Plan {}
var sig Refused in Plan {}

sig Node { var current: one Revision }

// Nodes that serve. A restarted node does not until it has read the configuration or pulled it from a peer.
var sig Serving in Node {}

pred unchangedStore { stored' = stored and applied' = applied and Accepted' = Accepted and Refused' = Refused }
pred unchangedNodes { current' = current and Serving' = Serving }

// The compare-and-swap takes effect. Its response may be lost.
pred write[p: Plan] {
  p.base = Store.stored // guard: compare
  some Store.stored.next
  stored' = Store -> Store.stored.next
  applied' = applied + Store -> Store.stored.next -> p
  Accepted' = Accepted and Refused' = Refused
  unchangedNodes
}

// The operator learns that the plan was applied, from the response or by reading back.
pred accept[p: Plan] {
  p in Revision.(Store.applied)
  Accepted' = Accepted + p and Refused' = Refused
  stored' = stored and applied' = applied
  unchangedNodes
}

// The operator is notified of a conflict: another change came first.
pred refuse[p: Plan] {
  lt[p.base, Store.stored]
  p not in Revision.(Store.applied) // guard: applied
  Refused' = Refused + p and Accepted' = Accepted
  stored' = stored and applied' = applied
  unchangedNodes
}

pred read[n: Node] {
  gte[Store.stored, n.current]
  current' = current ++ n -> Store.stored
  Serving' = Serving + n
  unchangedStore
}

pred pull[n, from: Node] {
  from in Serving
  gte[from.current, n.current] // guard: higher
  current' = current ++ n -> from.current
  Serving' = Serving + n
  unchangedStore
}

pred restart[n: Node] {
  current' = current ++ n -> first
  Serving' = Serving - n
  unchangedStore
}

pred stutter { unchangedStore and unchangedNodes }

fact Behaviour {
  Store.stored = first and no applied and no Accepted and no Refused and Node.current = first and Serving = Node
  always (
    (some p: Plan | write[p] or accept[p] or refuse[p]) or
    (some n: Node | read[n] or restart[n]) or
    (some disj n, m: Node | pull[n, m]) or
    stutter
  )
}

// A plan takes effect only on the revision that it was made for, so it never overwrites another change.
assert NoLostUpdate { always all p: Plan | (after (p in Revision.(Store.applied)) and p not in Revision.(Store.applied)) implies p.base = Store.stored }
assert AppliedOnce { always all p: Plan | lone Store.applied.p }
assert ConflictIsTrue { always all p: Refused | p not in Revision.(Store.applied) }
assert NeverReverts { always all n: Node, r: Revision | (n in Serving and n.current = r) implies after (n in Serving implies gte[n.current, r]) }

run Works { eventually (some Accepted and Node.current = last) } for 3 but 8 steps
check NoLostUpdate for 3 but 6 steps
check AppliedOnce for 4 but 6 steps
check ConflictIsTrue for 3 but 6 steps
check NeverReverts for 3 but 6 steps
