package bergamotwall.bench

import bergamotwall.model.CallerIntent
import bergamotwall.model.CallerName
import bergamotwall.model.Intent
import bergamotwall.model.ModelIntent
import bergamotwall.model.ModelName
import bergamotwall.model.ServiceIntent
import bergamotwall.model.ServiceName
import bergamotwall.model.TrainerIntent
import bergamotwall.model.TrainerName
import bergamotwall.standins.EngineOptions

/** Workload mixes of the two deployments, at their present sizes. */
internal val workloadMixes: List<WorkloadMix> =
    listOf(
        mix("vriesmand", engines = 8, services = 3, stalenessWeight = 80, firstStalenessBound = 2),
        mix("cire", engines = 6, services = 4, stalenessWeight = 20, firstStalenessBound = 3),
    )

/** Engine of the benchmarks: a token every 2 ms, and lengths with a long tail. */
internal val benchEngine: EngineOptions =
    EngineOptions(
        id = "",
        address = "",
        model = "",
        slots = 4,
        tokenMillis = 2.0,
        prefillMillis = 10.0,
        medianTokens = 40,
        tailSigma = 0.8,
        swapMillis = 200,
    )

private fun mix(
    name: String,
    engines: Int,
    services: Int,
    stalenessWeight: Int,
    firstStalenessBound: Int,
): WorkloadMix {
    val stalenessBounds = listOf(firstStalenessBound, firstStalenessBound + 1)
    val model = ModelName("model")
    val intent =
        Intent(
            name = name,
            models = listOf(ModelIntent(model, stalenessWeightPercent = stalenessWeight)),
            services = listOf(ServiceIntent(ServiceName("service"))),
            callers = listOf(CallerIntent(CallerName("app"), "app-key")),
            trainers =
            stalenessBounds.mapIndexed { i, bound ->
                TrainerIntent(TrainerName("trainer-$i"), "trainer-$i-key", model, bound)
            },
        )
    return WorkloadMix(name, intent, engines, services, stalenessBounds)
}
