// One batch of the gateway, on the users' platform: submissions to several processes, owners that are paused, lost and
// replaced, and results.
module batches

sig Item {}

// Terms of ownership. Each change of the ownership record takes a new one.
sig Term {}
var sig Used in Term {}

sig Process {
  // The term under which the process believes that it owns the batch.
  var ownsUnder: lone Term,
  // Items that the process believes to be listed.
  var knownListed: set Item
}

// Processes that a caller submitted the batch to, those whose creation may still take effect, and those that have
// responded.
var sig Attempted in Process {}
var sig Pending in Process {}
var sig Accepted in Process {}
var sig Refused in Process {}

// Processes that are registered, and lost owners whose batch the other processes search for.
var sig Registered in Process {}
var sig Sought in Process {}

// Processes whose creation took effect and which have not learned that yet.
var sig Created in Process {}

// State of the key-value service: the current term and its owner, and the listed items with the processes that listed
// them.
one sig Service {
  var term: lone Term,
  var owner: lone Process,
  var listed: Item -> Process
}

// Items that a target has run.
var sig Ran in Item {}

pred unchangedService { unchangedTerm and listed' = listed }
pred unchangedTerm { term' = term and owner' = owner and Used' = Used }
pred unchangedProcesses { ownsUnder' = ownsUnder and knownListed' = knownListed and Ran' = Ran }
pred unchangedSubmissions { Accepted' = Accepted and Refused' = Refused and Attempted' = Attempted }
pred unchangedMembers { Registered' = Registered and Sought' = Sought }

// A caller submits the batch to a process, which sends the creation.
pred submit[p: Process] {
  p not in Attempted
  Attempted' = Attempted + p and Pending' = Pending + p
  Accepted' = Accepted and Refused' = Refused and Created' = Created
  unchangedService and unchangedProcesses and unchangedMembers
}

// The creation takes effect, possibly late.
pred store[p: Process, t: Term] {
  p in Pending and t not in Used
  no Service.term // guard: absent
  p in Registered // guard: registered
  term' = Service -> t and owner' = Service -> p and Used' = Used + t and listed' = listed
  knownListed' = knownListed and Ran' = Ran
  Pending' = Pending - p
  unchangedSubmissions and unchangedMembers
}

pred create[p: Process, t: Term] {
  store[p, t]
  ownsUnder' = ownsUnder ++ p -> t and Created' = Created
}

// The creation takes effect while the process is paused, or its response is lost.
pred createUnseen[p: Process, t: Term] {
  store[p, t]
  ownsUnder' = ownsUnder and Created' = Created + p
}

// The process reads the record that its creation has stored, and takes the batch for its own.
pred learn[p: Process] {
  p in Created
  Service.owner = p // guard: owner
  ownsUnder' = ownsUnder ++ p -> Service.term and Created' = Created - p
  knownListed' = knownListed and Ran' = Ran and Pending' = Pending
  unchangedService and unchangedSubmissions and unchangedMembers
}

// The registration of a process ends. The others list the batches once, and search as long as one of them has no owner.
pred lapse[p: Process] {
  p in Registered
  Registered' = Registered - p
  Sought' = Sought + (Service.owner & p)
  Pending' = Pending and Created' = Created
  unchangedService and unchangedProcesses and unchangedSubmissions
}

pred register[p: Process] {
  p not in Registered
  Registered' = Registered + p and Sought' = Sought - p
  Pending' = Pending and Created' = Created
  unchangedService and unchangedProcesses and unchangedSubmissions
}

// The process learns that its creation was declined or was abandoned without effect.
pred fail[p: Process] {
  p in Pending
  Pending' = Pending - p and Created' = Created
  unchangedSubmissions and unchangedService and unchangedProcesses and unchangedMembers
}

pred accept[p: Process] {
  p in Attempted - Accepted - Refused
  some Service.term // guard: durable
  Accepted' = Accepted + p and Refused' = Refused and Attempted' = Attempted and Pending' = Pending
  Created' = Created
  unchangedService and unchangedProcesses and unchangedMembers
}

pred refuse[p: Process] {
  p in Attempted - Accepted - Refused
  no p.ownsUnder and p not in Created
  p not in Pending // guard: settled
  Refused' = Refused + p and Accepted' = Accepted and Attempted' = Attempted and Pending' = Pending
  Created' = Created
  unchangedService and unchangedProcesses and unchangedMembers
}

// A target runs an item for a process that believes that it owns the batch.
pred execute[p: Process, i: Item] {
  some p.ownsUnder
  Ran' = Ran + i
  ownsUnder' = ownsUnder and knownListed' = knownListed
  unchangedService and unchangedSubmissions and unchangedMembers and Pending' = Pending and Created' = Created
}

// The process appends a result that it does not believe to be listed.
pred append[p: Process, i: Item] {
  i in Ran - p.knownListed
  some p.ownsUnder
  p.ownsUnder = Service.term // guard: fence
  listed' = listed + Service -> i -> p
  knownListed' = knownListed + p -> i and ownsUnder' = ownsUnder and Ran' = Ran
  unchangedTerm and unchangedSubmissions and unchangedMembers and Pending' = Pending and Created' = Created
}

// Another process adopts the batch by compare-and-swap, then reads the listed items. The previous owner may still
// be running.
pred adopt[p: Process, t: Term] {
  some Service.term and t not in Used
  p in Registered // guard: adopter
  term' = Service -> t and owner' = Service -> p and Used' = Used + t and listed' = listed
  ownsUnder' = ownsUnder ++ p -> t
  knownListed' = knownListed + p -> (Service.listed).Process // guard: read
  Ran' = Ran
  unchangedSubmissions and unchangedMembers and Pending' = Pending and Created' = Created
}

pred stutter {
  unchangedService and unchangedProcesses and unchangedSubmissions and unchangedMembers
  Pending' = Pending and Created' = Created
}

fact Behaviour {
  no Used and no Attempted and no Pending and no Created and no Accepted and no Refused and no Ran and no Sought
  no term and no owner and no listed and no ownsUnder and no knownListed
  always (
    (some p: Process | submit[p] or fail[p] or learn[p] or accept[p] or refuse[p] or lapse[p] or register[p]) or
    (some p: Process, t: Term | create[p, t] or createUnseen[p, t] or adopt[p, t]) or
    (some p: Process, i: Item | execute[p, i] or append[p, i]) or
    stutter
  )
}

// No item is listed twice.
assert ListedOnce { always all i: Item | lone i.(Service.listed) }
// No item of a batch runs if every process that the batch was submitted to refused it.
assert RefusalIsTrue { always ((some Attempted and Attempted = Refused) implies no Ran) }
// An accepted batch is stored.
assert AcceptedIsKept { always (some Accepted implies some Service.term) }
// The owner of a batch is registered, or the other processes search for the batch.
assert LossIsNoticed { always Service.owner in Registered + Sought }
// No two processes run a batch under the same term.
assert OneOwner { always all t: Term | lone ownsUnder.t }

run Works { eventually (some disj p, q: Process | p in Refused and q in Accepted and some Service.listed) } for 3 but 10 steps
run TakesOver { eventually (some disj p, q: Process | p + q in Item.(Service.listed)) } for 3 but 8 steps
check ListedOnce for 3 but 8 steps
check RefusalIsTrue for 3 but 7 steps
check AcceptedIsKept for 3 but 6 steps
check LossIsNoticed for 3 but 6 steps
check OneOwner for 3 but 6 steps
