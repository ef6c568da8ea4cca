// Hand-over of batches: entries that crash, commit by compare-and-swap, published versions, staleness.
module handover

open util/ordering[Version]

sig Version {}

sig Content { made: one Version }

sig Entry {
  var draft: lone Content,
  // Version that the entry read before it commits.
  var seen: lone Version
}

one sig Store {
  var committed: lone Content,
  var published: one Version
}

// Contents that were handed to the trainer for the one batch.
var sig HandedOut in Content {}

pred fresh[c: Content, v: Version] { c.made = v or c.made = v.prev }

pred assemble[e: Entry, c: Content] {
  draft' = draft ++ e -> c
  seen' = seen ++ e -> Store.published
  fresh[c, Store.published]
  committed' = committed and published' = published and HandedOut' = HandedOut
}

pred commit[e: Entry] {
  some e.draft
  no Store.committed // guard: swap
  e.seen = Store.published // guard: published
  committed' = Store -> e.draft
  draft' = draft and seen' = seen and published' = published and HandedOut' = HandedOut
}

pred handOut[e: Entry, c: Content] {
  c = Store.committed or c = e.draft
  c = Store.committed // guard: committed
  HandedOut' = HandedOut + c
  draft' = draft and seen' = seen and committed' = committed and published' = published
}

pred publish {
  published' = Store -> Store.published.next
  some Store.published.next
  draft' = draft and seen' = seen and committed' = committed and HandedOut' = HandedOut
}

pred crash[e: Entry] {
  draft' = draft - e -> Content
  seen' = seen - e -> Version
  committed' = committed and published' = published and HandedOut' = HandedOut
}

pred stutter {
  draft' = draft and seen' = seen and committed' = committed and published' = published and HandedOut' = HandedOut
}

fact Behaviour {
  no draft and no seen and no committed and no HandedOut and Store.published = first
  always (
    (some e: Entry, c: Content | assemble[e, c] or handOut[e, c]) or
    (some e: Entry | commit[e] or crash[e]) or
    publish or
    stutter
  )
}

assert ExactlyOnce { always lone HandedOut }
assert OnlyCommitted { always all c: HandedOut | c = Store.committed }
assert FreshAtCommit { always all c: Content | (c not in Store.committed and after (c in Store.committed)) implies fresh[c, Store.published] }

run Works { eventually some HandedOut } for 3 but 6 steps
check ExactlyOnce for 3 but 7 steps
check OnlyCommitted for 3 but 7 steps
check FreshAtCommit for 3 but 7 steps
