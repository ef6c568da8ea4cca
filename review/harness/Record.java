import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time in milliseconds since the start of the traffic. */
final class Record {
    private static PrintWriter out;
    private static long zeroNanos = System.nanoTime();

    private Record() {
    }

    static void open(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Sets the origin of all times. */
    static void startTraffic() {
        zeroNanos = System.nanoTime();
    }

    static long now() {
        return (System.nanoTime() - zeroNanos) / 1_000_000;
    }

    static synchronized void log(String format, Object... values) {
        String line = String.format("%8d  ", now()) + String.format(format, values);
        out.println(line);
        out.flush();
    }
}
