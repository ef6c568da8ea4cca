package bergamotwall.bench

import bergamotwall.model.Intent

/** Workload of one deployment: its intent, its replicas, and how its trainers order. */
internal class Mix(
    val name: String,
    val intent: Intent,
    val engines: Int,
    val services: Int,
    val bounds: List<Int>,
)
