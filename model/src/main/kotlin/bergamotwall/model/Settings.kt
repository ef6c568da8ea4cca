package bergamotwall.model

import kotlinx.serialization.Serializable

/** Settings of one process of the fleet. Addresses are `host:port`. Settings do not change while the process runs. */
@Serializable
public data class Settings(
    val id: NodeId,
    val dataCentre: DataCentre,
    val httpAddress: String,
    val peerAddress: String,
    val keyValueAddress: String,
    val vmListAddress: String,
    val dataFolder: String? = null,
    val seeds: List<String> = emptyList(),
    val probePeriodMillis: Long = 500,
    val addressTtlMillis: Long = 2_000,
    val leaseTtlSeconds: Long = 4,
    val logLevel: String = "info",
    val traceEndpoint: String? = null,
    val randomSeed: Long = 0,
    val maxBodyBytes: Long = 8_388_608,
    val dispatch: DispatchPolicy = DispatchPolicy.SHARDS,
)

/** Checks the rules for [settings] that types cannot express. Returns all violations, or an empty list if valid. */
public fun validateSettings(
    settings: Settings,
    text: String,
    source: String,
): List<DocumentProblem> {
    val problems = mutableListOf<DocumentProblem>()
    val check = { ok: Boolean, field: String, message: String, fix: String ->
        val line = 1 + text.take(text.indexOf("\"$field\"").coerceAtLeast(0)).count { it == '\n' }
        if (!ok) problems += DocumentProblem(source, line, field, message, fix)
    }
    check(settings.id.value.isNotBlank(), "id", "is blank", "give the process a unique id")
    check(isAddress(settings.httpAddress), "httpAddress", "is not host:port", "use for example 10.0.0.5:8080")
    check(isAddress(settings.peerAddress), "peerAddress", "is not host:port", "use for example 10.0.0.5:7000")
    check(
        isAddress(settings.keyValueAddress),
        "keyValueAddress",
        "is not host:port",
        "use the key-value service's address"
    )
    check(isAddress(settings.vmListAddress), "vmListAddress", "is not host:port", "use the VM list's address")
    check(settings.seeds.all { isAddress(it) }, "seeds", "holds an entry that is not host:port", "correct it")
    check(settings.probePeriodMillis >= MIN_PERIOD_MILLIS, "probePeriodMillis", "is below 50", "use 50 or more")
    check(settings.addressTtlMillis >= 0, "addressTtlMillis", "is negative", "use 0 or more")
    check(settings.leaseTtlSeconds >= MIN_LEASE_SECONDS, "leaseTtlSeconds", "is below 2", "use 2 or more")
    check(settings.logLevel in LOG_LEVELS, "logLevel", "is unknown", "use one of $LOG_LEVELS")
    check(settings.maxBodyBytes > 0, "maxBodyBytes", "is not positive", "use 1 or more")
    return problems
}

private const val MIN_PERIOD_MILLIS = 50L
private const val MIN_LEASE_SECONDS = 2L
