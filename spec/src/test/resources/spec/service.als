// One request from grant to answer: labels, resumption, crossed answers, leaving targets, graceful stop.
module service

sig Version {}

sig Target {
  // Version that the target serves, whatever it was ordered to.
  var serves: one Version,
  var ordered: one Version
}

var sig Leaving in Target {}
var sig Stopped in Target {}

sig Request {
  var at: lone Target,
  // Versions that truly made pieces of the answer, and the label.
  var made: set Version,
  var label: set Version
}

var sig Ended in Request {}

// Whole answers as callers got them: for which request, of which request.
one sig Callers { var got: Request -> Request }

pred unchangedTargets { serves' = serves and ordered' = ordered and Leaving' = Leaving and Stopped' = Stopped }
pred unchangedRequests { at' = at and made' = made and label' = label and Ended' = Ended and got' = got }

pred grant[r: Request, t: Target] {
  no r.at and r not in Ended
  t not in Leaving // guard: leaving
  t not in Stopped
  at' = at + r -> t
  made' = made and label' = label and Ended' = Ended and got' = got
  unchangedTargets
}

pred piece[r: Request] {
  some r.at and r.at not in Stopped
  made' = made + r -> r.at.serves
  label' = label + r -> r.at.serves // guard: named
  at' = at and Ended' = Ended and got' = got
  unchangedTargets
}

// The target says that the answer is whole.
pred end[r: Request] {
  some r.at and r.at not in Stopped and some r.made
  Ended' = Ended + r
  at' = at - r -> Target
  made' = made and label' = label and got' = got
  unchangedTargets
}

// The stream breaks; another target may resume it.
pred break[r: Request] {
  some r.at
  at' = at - r -> Target
  made' = made and label' = label and Ended' = Ended and got' = got
  unchangedTargets
}

pred answer[r, of: Request] {
  of in Ended // guard: whole
  r = of // guard: own
  some of.made
  got' = got + Callers -> r -> of
  at' = at and made' = made and label' = label and Ended' = Ended
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
  no at.t // guard: drained
  Stopped' = Stopped + t
  serves' = serves and ordered' = ordered and Leaving' = Leaving
  unchangedRequests
}

pred stutter { unchangedTargets and unchangedRequests }

fact Behaviour {
  no Leaving and no Stopped and no at and no made and no label and no Ended and no got
  always (
    (some r: Request, t: Target | grant[r, t]) or
    (some r: Request | piece[r] or end[r] or break[r]) or
    (some r, o: Request | answer[r, o]) or
    (some t: Target, v: Version | swap[t, v]) or
    (some t: Target | leave[t] or stop[t]) or
    stutter
  )
}

assert LabelIsTrue { always all r: Request | r.label = r.made }
assert OwnAnswer { always all r, o: Request | (r -> o in Callers.got) implies r = o }
assert WholeAnswer { always all r, o: Request | (r -> o in Callers.got) implies o in Ended }
assert LeavingGetsNoWork { always all r: Request, t: Leaving | (no r.at) implies after (r.at != t) }
assert StopCutsNothing { always no Request.at & Stopped }

run Works { eventually some Callers.got } for 3 but 6 steps
check LabelIsTrue for 2 but 6 steps
check OwnAnswer for 2 but 6 steps
check WholeAnswer for 2 but 6 steps
check LeavingGetsNoWork for 2 but 6 steps
check StopCutsNothing for 2 but 6 steps
