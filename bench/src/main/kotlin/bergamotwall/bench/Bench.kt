package bergamotwall.bench

/** One bench. */
internal interface Bench {
    /** Name on the command line. */
    val name: String

    /** Runs it. */
    fun run(options: BenchOptions): BenchResult
}

/** Options of all benches. */
internal data class BenchOptions(val seed: Long, val rounds: Int, val seconds: Long)
