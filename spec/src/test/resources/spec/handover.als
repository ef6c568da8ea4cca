// Delivery of one batch to its trainer: entries that crash, commit by compare-and-swap, published versions, staleness.
module handover

open util/ordering[Version]

sig Version {}

sig Content { generatedBy: one Version }

sig Entry {
  var draft: lone Content,
  // Published version that the entry read before it commits.
  var observed: lone Version
}

one sig Store {
  var committed: lone Content,
  var published: one Version
}

// Contents that were delivered to the trainer for the batch.
var sig Delivered in Content {}

pred fresh[c: Content, v: Version] { c.generatedBy = v or c.generatedBy = v.prev }

pred assemble[e: Entry, c: Content] {
  draft' = draft ++ e -> c
  observed' = observed ++ e -> Store.published
  fresh[c, Store.published]
  committed' = committed and published' = published and Delivered' = Delivered
}

pred commit[e: Entry] {
  some e.draft
  no Store.committed // guard: swap
  e.observed = Store.published // guard: published
  committed' = Store -> e.draft
  draft' = draft and observed' = observed and published' = published and Delivered' = Delivered
}

pred deliver[e: Entry, c: Content] {
  c = Store.committed or c = e.draft
  c = Store.committed // guard: committed
  Delivered' = Delivered + c
  draft' = draft and observed' = observed and committed' = committed and published' = published
}

pred publish {
  published' = Store -> Store.published.next
  some Store.published.next
  draft' = draft and observed' = observed and committed' = committed and Delivered' = Delivered
}

pred crash[e: Entry] {
  draft' = draft - e -> Content
  observed' = observed - e -> Version
  committed' = committed and published' = published and Delivered' = Delivered
}

pred stutter {
  draft' = draft and observed' = observed and
    committed' = committed and published' = published and Delivered' = Delivered
}

fact Behaviour {
  no draft and no observed and no committed and no Delivered and Store.published = first
  always (
    (some e: Entry, c: Content | assemble[e, c] or deliver[e, c]) or
    (some e: Entry | commit[e] or crash[e]) or
    publish or
    stutter
  )
}

assert ExactlyOnce { always lone Delivered }
assert OnlyCommitted { always all c: Delivered | c = Store.committed }
assert FreshAtCommit { always all c: Content | (c not in Store.committed and after (c in Store.committed)) implies fresh[c, Store.published] }

run Works { eventually some Delivered } for 3 but 6 steps
check ExactlyOnce for 3 but 7 steps
check OnlyCommitted for 3 but 7 steps
check FreshAtCommit for 3 but 7 steps
