package bergamotwall.bench

/** A benchmark that `bin/bench` runs by name. */
internal interface Bench {
    /** Name on the command line. */
    val name: String

    /** Runs the benchmark and returns its figures. */
    fun run(options: BenchOptions): BenchResult
}

/** Options of all benchmarks: random [seed], number of [rounds] and length of one run in [seconds]. */
internal data class BenchOptions(val seed: Long, val rounds: Int, val seconds: Long)
