package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.runtime.Node

/** Dependencies of a [BatchJob]. */
internal class BatchDependencies(
    val node: Node,
    val groups: GroupRunner,
    val stores: SampleStores,
    val manifests: Manifests,
    val tail: TailEstimator,
    val scorer: SampleScorer,
)
