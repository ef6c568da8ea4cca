package bergamotwall.model

/** Checks the rules for [intent] that types cannot express. Returns all violations, or an empty list if it is valid. */
public fun validateIntent(
    intent: Intent,
    text: String,
    source: String,
): List<DocumentProblem> {
    val problems = mutableListOf<DocumentProblem>()
    val check = { ok: Boolean, field: String, message: String, fix: String ->
        if (!ok) problems += DocumentProblem(source, lineOfField(text, field), field, message, fix)
    }
    check(intent.name.isNotBlank(), "name", "is blank", "give the intent a name")
    intent.models.forEach { validateModel(it, check) }
    intent.trainers.forEach { validateTrainer(it, intent, check) }
    val keys = intent.callers.map { it.key } + intent.trainers.map { it.key }
    check(keys.all { it.isNotBlank() }, "key", "is blank", "give each caller and trainer a key")
    check(keys.size == keys.toSet().size, "key", "is used twice", "give each caller and trainer a key of its own")
    check(allDistinct(intent.models.map { it.name }), "models", "names a model twice", "merge the two entries")
    check(allDistinct(intent.services.map { it.name }), "services", "names a service twice", "merge the two entries")
    check(allDistinct(intent.trainers.map { it.name }), "trainers", "names a trainer twice", "merge the two entries")
    return problems
}

private const val MAX_PERCENT = 100

private fun allDistinct(names: List<Any>): Boolean = names.size == names.toSet().size

private fun validateModel(
    model: ModelIntent,
    check: (Boolean, String, String, String) -> Unit,
) {
    val percents = 0..MAX_PERCENT
    check(model.allowedVersionsBehind >= 0, "allowedVersionsBehind", "is negative", "use 0 or more versions")
    check(
        model.availabilityFloorPercent in 0 until MAX_PERCENT,
        "availabilityFloorPercent",
        "is not in 0..99",
        "use 0 to 99"
    )
    check(model.stalenessWeightPercent in percents, "stalenessWeightPercent", "is not in 0..100", "use 0 to 100")
}

private fun validateTrainer(
    trainer: TrainerIntent,
    intent: Intent,
    check: (Boolean, String, String, String) -> Unit,
) {
    val model = intent.models.find { it.name == trainer.model }
    check(
        model != null,
        "model",
        "trainer ${trainer.name.value} names a model that this intent does not have",
        "add the model or correct the name"
    )
    check(trainer.stalenessBoundVersions >= 0, "stalenessBoundVersions", "is negative", "use 0 or more versions")
    check(trainer.shareWeight > 0, "shareWeight", "is not positive", "use 1 or more")
    trainer.rewarder?.let { validateRewarder(it, trainer, intent, check) }
    val behind = model?.allowedVersionsBehind ?: trainer.stalenessBoundVersions
    check(
        behind >= trainer.stalenessBoundVersions,
        "allowedVersionsBehind",
        "is below stalenessBoundVersions of trainer ${trainer.name.value}, which contradicts it",
        "raise allowedVersionsBehind or lower stalenessBoundVersions",
    )
}

private fun validateRewarder(
    rewarder: RewarderIntent,
    trainer: TrainerIntent,
    intent: Intent,
    check: (Boolean, String, String, String) -> Unit,
) {
    check(
        intent.services.any { it.name == rewarder.service },
        "rewarder",
        "of trainer ${trainer.name.value} names a service that this intent does not have",
        "add the service or correct the name",
    )
    check(rewarder.path.startsWith('/'), "path", "is not an absolute path", "use for example /score")
    check(rewarder.timeoutMillis > 0, "timeoutMillis", "is not positive", "use for example 10000")
    check(rewarder.maxAttempts > 0, "maxAttempts", "is not positive", "use 1 or more")
}

private fun lineOfField(
    text: String,
    field: String,
): Int = 1 + text.take(text.indexOf("\"$field\"").coerceAtLeast(0)).count { it == '\n' }
