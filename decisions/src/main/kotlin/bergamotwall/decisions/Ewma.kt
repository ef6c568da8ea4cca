package bergamotwall.decisions

/** Exponentially weighted moving average with weight [alpha] for the newest value; NaN-free, zero until fed. */
public class Ewma(private val alpha: Double) {
    private var fed = false

    /** The current average, in the unit of what was fed. */
    public var value: Double = 0.0
        private set

    /** Feeds [sample]. */
    public fun add(sample: Double) {
        value = if (fed) value + alpha * (sample - value) else sample
        fed = true
    }
}
