package bergamotwall.decisions

/** Exponentially weighted moving average with weight [alpha] for the newest sample. Zero, not NaN, before the first. */
public class Ewma(private val alpha: Double) {
    private var hasSamples = false

    /** The current average, in the unit of the samples. */
    public var value: Double = 0.0
        private set

    public fun add(sample: Double) {
        value = if (hasSamples) value + alpha * (sample - value) else sample
        hasSamples = true
    }
}
