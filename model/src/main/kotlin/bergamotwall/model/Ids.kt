package bergamotwall.model

import kotlinx.serialization.Serializable

/** Identity of one process of the fleet (an entry, a controller or a sample store). */
@Serializable
@JvmInline
public value class NodeId(public val value: String)

/** Identity of one target: a model engine replica or an instance of a plain service. */
@Serializable
@JvmInline
public value class TargetId(public val value: String)

/** Name of a data centre. */
@Serializable
@JvmInline
public value class DataCentre(public val value: String)

/** Name of a model. */
@Serializable
@JvmInline
public value class ModelName(public val value: String)

/** Name of a plain service. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String)

/** Name of a trainer. */
@Serializable
@JvmInline
public value class TrainerName(public val value: String)

/** Name of a caller. */
@Serializable
@JvmInline
public value class CallerName(public val value: String)

/** Name of a workspace, to which callers' keys belong. */
@Serializable
@JvmInline
public value class WorkspaceName(public val value: String)

/** Identity of one request inside the fleet. */
@Serializable
@JvmInline
public value class RequestId(public val value: String)

/** Identity of one sample: unique over trainer, batch, group and generation. */
@Serializable
@JvmInline
public value class SampleId(public val value: String)

/** Identity of a plan; also identifies the write that confirms it, so that the write takes effect only once. */
@Serializable
@JvmInline
public value class PlanId(public val value: String)

/** Version of a target's software, as the target names it; versions have no order. */
@Serializable
@JvmInline
public value class SoftwareVersion(public val value: String)

/** Version of a model's weights; higher is newer. */
@Serializable
@JvmInline
public value class WeightVersion(public val value: Long) : Comparable<WeightVersion> {
    override fun compareTo(other: WeightVersion): Int = value.compareTo(other.value)
}

/** Revision of the configuration; a node never adopts a lower one. */
@Serializable
@JvmInline
public value class ConfigurationRevision(public val value: Long) : Comparable<ConfigurationRevision> {
    override fun compareTo(other: ConfigurationRevision): Int = value.compareTo(other.value)
}

/** Fencing token of a lease; a later holder has a higher one. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)
}

/** Hash of a request's content; independent of its idempotency key. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: Long) {
    /** The hash in hexadecimal, as written in logs and keys. */
    public val hex: String get() = value.toULong().toString(HEX_RADIX).padStart(HEX_DIGITS, '0')

    /** Conversion from text. */
    public companion object {
        private const val HEX_RADIX = 16
        private const val HEX_DIGITS = 16

        /** The fingerprint whose [Fingerprint.hex] is [text], or null if there is none. */
        public fun ofHex(text: String): Fingerprint? = text.toULongOrNull(HEX_RADIX)?.let { Fingerprint(it.toLong()) }
    }
}

/** Identity of a batch, as its trainer named it. */
@Serializable
@JvmInline
public value class BatchId(public val value: String)

/** Identity of one item of a batch; an item that is carried over to a later batch keeps its identity. */
@Serializable
@JvmInline
public value class ItemId(public val value: String)
