package bergamotwall.bench;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one routing decision. Written in Java because JMH's annotation processor does not read Kotlin. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBenchmark {
    /** Number of replicas of the model in the fleet. */
    @Param({"10", "100", "800"})
    public int replicas;

    private DecideFixture fixture;

    /** Creates a dispatcher with half of its slots in use. */
    @Setup
    public void setUp() {
        fixture = new DecideFixture(replicas);
    }

    /** Dispatches one request and ends another. */
    @Benchmark
    public Object decide() {
        return fixture.decide();
    }
}
