package bergamotwall.entry

import bergamotwall.decisions.TailEstimator
import bergamotwall.runtime.Node

/** What a [BatchJob] works with. */
internal class BatchParts(
    val node: Node,
    val groups: GroupRunner,
    val stores: SampleStores,
    val manifests: Manifests,
    val tail: TailEstimator,
)
