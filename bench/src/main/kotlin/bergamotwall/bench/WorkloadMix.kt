package bergamotwall.bench

import bergamotwall.model.Intent

/** Workload mix of one deployment: its intent, its replicas, and the staleness bounds of its trainers. */
internal class WorkloadMix(
    val name: String,
    val intent: Intent,
    val engines: Int,
    val services: Int,
    val stalenessBounds: List<Int>,
)
