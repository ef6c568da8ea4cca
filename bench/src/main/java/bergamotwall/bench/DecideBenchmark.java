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

/** One routing decision. In Java, as the annotation processor of JMH reads no Kotlin. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBenchmark {
    /** Replicas of the model in the whole fleet. */
    @Param({"10", "100", "800"})
    public int replicas;

    private DecideFixture fixture;

    /** Loads the dispatcher half. */
    @Setup
    public void load() {
        fixture = new DecideFixture(replicas);
    }

    /** Grants one request and returns another. */
    @Benchmark
    public Object decide() {
        return fixture.decide();
    }
}
