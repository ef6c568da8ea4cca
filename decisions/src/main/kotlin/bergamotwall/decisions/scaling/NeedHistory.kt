package bergamotwall.decisions.scaling

/** Needs of a service in the last [keptMillis], so that neither a short peak nor a short pause changes its targets. */
public class NeedHistory(private val keptMillis: Long) {
    private class Sample(val atMillis: Long, val need: TargetNeed)

    private val samples = ArrayDeque<Sample>()

    /** Records [need] at [nowMillis]. */
    public fun add(
        nowMillis: Long,
        need: TargetNeed,
    ) {
        // The newest sample from before the kept time shows that the history covers it.
        while (samples.size > 1 && samples[1].atMillis <= nowMillis - keptMillis) samples.removeFirst()
        samples += Sample(nowMillis, need)
    }

    /** Whether needs were recorded from [fromMillis] on. */
    public fun covers(fromMillis: Long): Boolean = samples.firstOrNull()?.let { it.atMillis <= fromMillis } ?: false

    /** The least need since [fromMillis]: what was needed all the time. None if that time is not covered. */
    public fun sustained(fromMillis: Long): TargetNeed =
        if (covers(fromMillis)) combined(fromMillis, ::minOf) else TargetNeed.NONE

    /** The greatest need since [fromMillis]. */
    public fun peak(fromMillis: Long): TargetNeed = combined(fromMillis, ::maxOf)

    private fun combined(
        fromMillis: Long,
        choose: (Int, Int) -> Int,
    ): TargetNeed =
        samples
            .filter { it.atMillis >= fromMillis }
            .map { it.need }
            .reduceOrNull { a, b ->
                TargetNeed(
                    choose(a.least, b.least),
                    choose(a.scaleUpBelow, b.scaleUpBelow),
                    choose(a.withReserve, b.withReserve),
                )
            } ?: TargetNeed.NONE
}
