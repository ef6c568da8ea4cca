package bergamotwall.drivers

/** Id of a lease in the key-value service. */
@JvmInline
public value class LeaseId(public val value: Long)
