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

/** The deployments' mixes, at the sizes of today. */
internal val mixes: List<Mix> =
    listOf(
        mix("vriesmand", engines = 8, services = 3, stalenessWeight = 80, firstBound = 2),
        mix("cire", engines = 6, services = 4, stalenessWeight = 20, firstBound = 3),
    )

/** Engines of the benches: a token every 2 ms, lengths with a long tail. */
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
    firstBound: Int,
): Mix {
    val bounds = listOf(firstBound, firstBound + 1)
    val model = ModelName("model")
    val intent =
        Intent(
            name = name,
            models = listOf(ModelIntent(model, stalenessWeightPercent = stalenessWeight)),
            services = listOf(ServiceIntent(ServiceName("service"))),
            callers = listOf(CallerIntent(CallerName("app"), "app-key")),
            trainers =
            bounds.mapIndexed { i, bound ->
                TrainerIntent(TrainerName("trainer-$i"), "trainer-$i-key", model, bound)
            },
        )
    return Mix(name, intent, engines, services, bounds)
}
