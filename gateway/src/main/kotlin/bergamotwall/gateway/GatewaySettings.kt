package bergamotwall.gateway

import bergamotwall.decisions.crashes.CrashLimits
import bergamotwall.gateway.batches.BatchSettings
import bergamotwall.gateway.forwarding.ForwardLimits
import bergamotwall.gateway.intake.IntakeSettings
import bergamotwall.gateway.intake.validateIntakeSettings
import bergamotwall.gateway.relays.RelaySettings
import bergamotwall.gateway.scaling.ScalingSettings
import bergamotwall.gateway.scaling.validateScalingSettings
import bergamotwall.gateway.streams.StreamSettings
import bergamotwall.gateway.usage.UsageSettings
import bergamotwall.gateway.weights.WeightSettings
import bergamotwall.gateway.workspaces.WorkspaceSettings
import bergamotwall.model.DataCentre
import bergamotwall.model.DocumentProblem
import bergamotwall.model.LOG_LEVELS
import bergamotwall.model.NetworkAddress
import bergamotwall.model.NodeId
import bergamotwall.model.isAddress
import kotlinx.serialization.Serializable

/** Settings of a gateway process. Addresses have the form `host:port`. */
@Serializable
public data class GatewaySettings(
    val id: NodeId,
    val dataCentre: DataCentre,
    val peerAddress: String,
    val keyValueAddress: String,
    /** Address that callers connect to; null on a VM that callers can't reach. */
    val frontAddress: String? = null,
    /** Further addresses that serve the readiness check and the address directory, in addition to [frontAddress]. */
    val operationsAddresses: List<String> = emptyList(),
    /** Address that relays peers' requests to targets; null for the port after that of [peerAddress]. */
    val relayAddress: String? = null,
    /** Address that serves metrics at `/metrics`; null to disable. */
    val metricsAddress: String? = null,
    val logLevel: String = "info",
    /** Share of a core that the VM has. */
    val coreShare: Double = 1.0,
    /** Speed of its core, compared with those of other VMs. */
    val coreSpeed: Double = 1.0,
    /** Event loop threads; more threads than processors only add context switches. */
    val ioThreads: Int = 1,
    /**
     * How long callers may cache resolved addresses; a process that shuts down keeps serving for several times that.
     */
    val addressTtlSeconds: Int = 2,
    /** Time from SIGTERM until the process stops listening; the platform kills it after its grace period. */
    val leaveMillis: Long = 6_500,
    /** Time after that for requests in flight. */
    val finishMillis: Long = 1_000,
    /** Time to live of the registration's lease: how long the loss of a process can go unnoticed. */
    val leaseTtlSeconds: Long = 3,
    val maxBodyBytes: Long = 67_108_864,
    val follow: WatchSettings = WatchSettings(),
    val forward: ForwardLimits = ForwardLimits(),
    val batches: BatchSettings = BatchSettings(),
    val crashes: CrashLimits = CrashLimits(),
    val streams: StreamSettings = StreamSettings(),
    val relays: RelaySettings = RelaySettings(),
    val weights: WeightSettings = WeightSettings(),
    val workspaces: WorkspaceSettings = WorkspaceSettings(),
    /** Reports on usage; null to disable. */
    val usage: UsageSettings? = null,
    /** Ordering of targets; null to disable. */
    val scaling: ScalingSettings? = null,
    val intake: IntakeSettings = IntakeSettings(),
) {
    /** Time from SIGTERM in which every request is accepted: callers have not learned of the departure yet. */
    internal val settleMillis: Long get() = leaveMillis * SETTLE_PERCENT / PERCENT

    /** Time from SIGTERM by which every request must have its response. */
    internal val responsesEndMillis: Long get() = leaveMillis + finishMillis * FINISH_PERCENT / PERCENT

    /** [relayAddress], or its default. */
    public val relayAddressOrDefault: String
        get() = relayAddress ?: requireNotNull(NetworkAddress.of(peerAddress).nextPort()) { peerAddress }.toString()
}

/** Timing of the watches on the key-value service. */
@Serializable
public data class WatchSettings(
    /** Maximum duration of one long poll: a dead connection is detected after this time plus [marginMillis]. */
    val waitMillis: Long = 4_000,
    /**
     * A process that has not known its configuration to be the newest for this long answers 503, not 404, where no
     * route matches. A change must be applied within this time.
     */
    val configurationStaleMillis: Long = 2_000,
    /**
     * The same as [waitMillis] for the configuration: a dead connection is detected, and another path is used, within
     * the time in which a change must be applied.
     */
    val configurationWaitMillis: Long = configurationStaleMillis * CONFIGURATION_WAIT_PERCENT / PERCENT,
    /** How much longer than its long poll a call may take. */
    val marginMillis: Long = 500,
    /** Pause after a configuration change, and the shortest one after a change of members. */
    val configurationPauseMillis: Long = 20,
    /** Pause after a change of members for each of them, so that their news take a bounded number of calls. */
    val memberPauseMillis: Long = 4,
    /** The longest of these pauses; news of a lost member are up to a lease's duration old anyway. */
    val longestMemberPauseMillis: Long = 400,
    /** Shortest pause after a change of targets, so that a burst takes few calls. */
    val targetPauseMillis: Long = 300,
    /** Pause after a change of targets for each member, at processes that run no batches and order no weights. */
    val targetPausePerMemberMillis: Long = 20,
    /**
     * How long a target goes on serving after its departure is on record. No pause after a change of targets is longer
     * than half of what is left of this after [departureMarginMillis].
     */
    val departureMillis: Long = 2_000,
    /** Time for calls that fail and take another path while a target leaves. */
    val departureMarginMillis: Long = 1_400,
    /** Grace period for targets: registrations that expired in an outage return within about two seconds of its end. */
    val graceMillis: Long = 2_200,
    /** Grace period for gateway processes, which renew their registrations within a second of an outage's end. */
    val memberGraceMillis: Long = 1_000,
    /**
     * Shortest time without any response of the key-value service in which registrations may expire: they have a lease
     * of three seconds, or are written about every second, and lapse after three intervals.
     */
    val outageMillis: Long = 2_000,
    /** Pause after a failed call. */
    val retryMillis: Long = 200,
    /**
     * From this number of members on, two processes of each data centre watch the service for the others. With fewer,
     * the calls saved are not worth the dependence on other processes.
     */
    val sharedFromMembers: Int = 40,
    /** A process that watches for others is not used while its own latest proof is older than this. */
    val sharedAgeMillis: Long = 1_500,
    /** How much longer than its long poll a call to a process of the same data centre may take. */
    val sharedMarginMillis: Long = 300,
)

/** Validates what the types of [settings] can't express. Returns the problems found; empty if valid. */
public fun validateGatewaySettings(
    settings: GatewaySettings,
    source: String,
): List<DocumentProblem> {
    val problems = mutableListOf<DocumentProblem>()
    val check = { ok: Boolean, field: String, message: String, fix: String ->
        if (!ok) problems += DocumentProblem(source, 1, field, message, fix)
    }
    check(settings.id.value.isNotBlank(), "id", "is blank", "give the process a unique id")
    check(settings.dataCentre.value.isNotBlank(), "dataCentre", "is blank", "name the VM's data centre")
    val addresses =
        listOf("peerAddress" to settings.peerAddress, "keyValueAddress" to settings.keyValueAddress) +
            listOfNotNull(
                settings.frontAddress?.let { "frontAddress" to it },
                settings.metricsAddress?.let { "metricsAddress" to it },
                settings.relayAddress?.let { "relayAddress" to it },
            ) +
            settings.operationsAddresses.map { "operationsAddresses" to it }
    addresses.forEach { (field, address) ->
        check(isAddress(address), field, "is not host:port", "use for example 10.0.0.5:8080")
    }
    check(
        settings.relayAddress != null || NetworkAddress.parse(settings.peerAddress)?.nextPort() != null,
        "relayAddress",
        "is missing, and peerAddress has no next port",
        "name a relayAddress",
    )
    check(settings.ioThreads in 1..MAX_THREADS, "ioThreads", "is not 1 to $MAX_THREADS", "use the number of processors")
    check(settings.coreShare > 0 && settings.coreSpeed > 0, "coreShare", "is not positive", "use 1.0 for a core")
    check(settings.leaseTtlSeconds >= MIN_LEASE_SECONDS, "leaseTtlSeconds", "is below 2", "use 2 or more")
    check(settings.logLevel in LOG_LEVELS, "logLevel", "is unknown", "use one of $LOG_LEVELS")
    check(settings.leaveMillis >= 0 && settings.finishMillis >= 0, "leaveMillis", "is negative", "use 6500")
    check(settings.addressTtlSeconds >= 1, "addressTtlSeconds", "is below 1", "use 1 or more")
    problems += validateIntakeSettings(settings.intake, source)
    check(settings.batches.endMillis >= MIN_END_MILLIS, "batches.endMillis", "is below $MIN_END_MILLIS", "use 3000")
    check(settings.forward.hedging?.valid != false, "forward.hedging", "is out of range", "use {} for the defaults")
    settings.usage?.let { usage ->
        check(isAddress(usage.address), "usage.address", "is not host:port", "use the address of the platform's API")
        check(usage.windowSeconds > 0 && usage.lateSeconds > 0, "usage.windowSeconds", "is not positive", "use 5")
    }
    problems += validateScalingSettings(settings.scaling, source)
    check(settings.batches.partChars > 0, "batches.partChars", "is not positive", "use 400000")
    val revokeMillis = settings.workspaces.revokeMillis
    check(revokeMillis == null || revokeMillis >= 1, "workspaces.revokeMillis", "is not positive", "use 5000")
    return problems
}

private const val MAX_THREADS = 64
private const val MIN_LEASE_SECONDS = 2L

/** Less would need a read of each batch's record several times a second. */
private const val MIN_END_MILLIS = 1_000L

/** The rest of the time in which a change must be applied is left for the margin of a poll. */
private const val CONFIGURATION_WAIT_PERCENT = 75
private const val PERCENT = 100

/** Longer than callers keep resolved addresses by default. */
private const val SETTLE_PERCENT = 40

/** The rest is for responses on their way to the callers. */
private const val FINISH_PERCENT = 80
