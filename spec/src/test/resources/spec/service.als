// One request from grant to response: version labels, resumption, mixed-up responses, leaving targets, graceful stop.
module service

sig Version {}

sig Target {
  // Version that the target serves, which may differ from the one that it was ordered to serve.
  var serves: one Version,
  var ordered: one Version
}

var sig Leaving in Target {}
var sig Stopped in Target {}

sig Request {
  var runsAt: lone Target,
  // Versions that generated chunks of the response, and the versions on its label.
  var generatedBy: set Version,
  var label: set Version
}

var sig Completed in Request {}

// Complete responses that callers received: the request of the caller, and the request that the response belongs to.
one sig Callers { var received: Request -> Request }

pred unchangedTargets { serves' = serves and ordered' = ordered and Leaving' = Leaving and Stopped' = Stopped }
pred unchangedRequests {
  runsAt' = runsAt and generatedBy' = generatedBy and label' = label and Completed' = Completed and received' = received
}

pred grant[r: Request, t: Target] {
  no r.runsAt and r not in Completed
  t not in Leaving // guard: leaving
  t not in Stopped
  runsAt' = runsAt + r -> t
  generatedBy' = generatedBy and label' = label and Completed' = Completed and received' = received
  unchangedTargets
}

pred generate[r: Request] {
  some r.runsAt and r.runsAt not in Stopped
  generatedBy' = generatedBy + r -> r.runsAt.serves
  label' = label + r -> r.runsAt.serves // guard: named
  runsAt' = runsAt and Completed' = Completed and received' = received
  unchangedTargets
}

// The target reports that the response is complete.
pred complete[r: Request] {
  some r.runsAt and r.runsAt not in Stopped and some r.generatedBy
  Completed' = Completed + r
  runsAt' = runsAt - r -> Target
  generatedBy' = generatedBy and label' = label and received' = received
  unchangedTargets
}

// The stream is interrupted. Another target may resume it.
pred interrupt[r: Request] {
  some r.runsAt
  runsAt' = runsAt - r -> Target
  generatedBy' = generatedBy and label' = label and Completed' = Completed and received' = received
  unchangedTargets
}

pred respond[r, of: Request] {
  of in Completed // guard: whole
  r = of // guard: own
  some of.generatedBy
  received' = received + Callers -> r -> of
  runsAt' = runsAt and generatedBy' = generatedBy and label' = label and Completed' = Completed
  unchangedTargets
}

pred swap[t: Target, v: Version] {
  ordered' = ordered ++ t -> v
  serves' = serves or serves' = serves ++ t -> v
  Leaving' = Leaving and Stopped' = Stopped
  unchangedRequests
}

pred leave[t: Target] {
  Leaving' = Leaving + t
  serves' = serves and ordered' = ordered and Stopped' = Stopped
  unchangedRequests
}

pred stop[t: Target] {
  t in Leaving
  no runsAt.t // guard: drained
  Stopped' = Stopped + t
  serves' = serves and ordered' = ordered and Leaving' = Leaving
  unchangedRequests
}

pred stutter { unchangedTargets and unchangedRequests }

fact Behaviour {
  no Leaving and no Stopped and no runsAt and no generatedBy and no label and no Completed and no received
  always (
    (some r: Request, t: Target | grant[r, t]) or
    (some r: Request | generate[r] or complete[r] or interrupt[r]) or
    (some r, o: Request | respond[r, o]) or
    (some t: Target, v: Version | swap[t, v]) or
    (some t: Target | leave[t] or stop[t]) or
    stutter
  )
}

assert LabelIsTrue { always all r: Request | r.label = r.generatedBy }
assert OwnAnswer { always all r, o: Request | (r -> o in Callers.received) implies r = o }
assert WholeAnswer { always all r, o: Request | (r -> o in Callers.received) implies o in Completed }
assert LeavingGetsNoWork { always all r: Request, t: Leaving | (no r.runsAt) implies after (r.runsAt != t) }
assert StopCutsNothing { always no Request.runsAt & Stopped }

run Works { eventually some Callers.received } for 3 but 6 steps
check LabelIsTrue for 2 but 6 steps
check OwnAnswer for 2 but 6 steps
check WholeAnswer for 2 but 6 steps
check LeavingGetsNoWork for 2 but 6 steps
check StopCutsNothing for 2 but 6 steps
