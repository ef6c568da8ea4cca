import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start. */
final class Record {
    private final long startMillis = Store.now();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        String line = String.format("%7.3f %s", (Store.now() - startMillis) / 1_000.0, text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
