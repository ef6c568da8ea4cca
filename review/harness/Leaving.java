import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry gets SIGTERM. Callers that keep the directory's answer for three times its validity go on to use their open
 * channels; the entry passes their streams on to replicas and breaks them off when it ends.
 */
final class Leaving extends Review {
    private static final String MODEL = "model-a";
    private static final String PREFIX = "/ask/";
    private static final int EVENTS = 24;
    private static final int GAP_MILLIS = 100;
    private static final int TERM_AT_MILLIS = 2_000;
    /** When callers send again, after they have asked the directory. */
    private static final int[] SEND_MILLIS = {4_000, 4_400, 5_300, 5_400, 5_500, 5_600, 5_700, 5_800};
    /** How many times as long as the directory says some callers keep its answer. */
    private static final int PATIENCE = 3;
    private static final int MAX_TTL_SECONDS = 5;
    private static final int LENGTH_MILLIS = 14_000;

    private static volatile long keptMillis;
    private static volatile long resolvedAtMillis;

    /** Generations of 24 events, one each 100 ms. */
    private static final class Engines extends Fleet {
        Engines() throws Exception {
        }

        @Override
        int events(Http.Message request) {
            return request.path().endsWith("/first") ? 2 : EVENTS;
        }

        @Override
        long gapMillis(Http.Message request) {
            return GAP_MILLIS;
        }
    }

    public static void main(String[] arguments) {
        run(new Leaving(), arguments);
    }

    @Override
    boolean play() throws Exception {
        Fleet fleet = new Engines();
        fleet.replicas.add(new ReplicaStandIn(fleet, "i-0001", "engines", "dakar-a", 12, MODEL));
        fleet.replicas.add(new ReplicaStandIn(fleet, "i-0002", "engines", "dakar-b", 12, MODEL));
        fleet.configure(
                List.of(Fleet.route("r-ask", PREFIX, "streaming", "engines", 10_000, 500, "sticky", true, "resumable",
                        true)),
                List.of(Fleet.service("engines", MODEL)));
        fleet.start(3);

        Fleet.Node entry = fleet.entries.get(0);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < SEND_MILLIS.length; i++) {
            int number = i;
            callers.add(HttpServer.daemon(() -> {
                if (!asks(entry, number)) lost.incrementAndGet();
            }));
        }
        await(TERM_AT_MILLIS);
        keptMillis = PATIENCE * 1_000 * Math.min(MAX_TTL_SECONDS, resolve(fleet, entry));
        resolvedAtMillis = Record.now();
        if (TROUBLE) fleet.signal(entry, "TERM");
        for (Thread caller : callers) caller.join(LENGTH_MILLIS);
        Record.log("%d streams that had been passed on to a replica ended without a complete answer", lost.get());
        return lost.get() == 0;
    }

    /** Asks the directory at another entry; returns how long its answer is valid, if that names [entry]. */
    private static long resolve(Fleet fleet, Fleet.Node entry) throws Exception {
        Http.Message answer = fleet.call(fleet.entries.get(1), "GET",
                "/api/resolve?name=" + Fleet.HOST + "&region=sn-ouest&zone=dakar-a", null, new byte[0], 1_000);
        Map<String, Object> fields = Json.object(answer.text());
        boolean named = ((List<?>) fields.get("addresses")).contains(entry.front);
        if (!named) throw new IllegalStateException("the directory does not name the entry");
        return ((Number) fields.get("ttlS")).longValue();
    }

    /** Sends two streams on one channel, the second after the SIGTERM. Returns whether none was lost. */
    private static boolean asks(Fleet.Node entry, int number) {
        String[] parts = entry.front.split(":");
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            String first = ask(socket, in, "a" + number, "/first");
            if (!first.equals("200")) throw new IllegalStateException("first stream: " + first);
            while (resolvedAtMillis == 0) Thread.sleep(10);
            if (SEND_MILLIS[number] > keptMillis) return true;
            await(resolvedAtMillis + SEND_MILLIS[number]);
            return !ask(socket, in, "b" + number, "/second").startsWith("lost");
        } catch (Exception e) {
            Record.log("caller %d: %s", number, e);
            return true;
        }
    }

    /** Sends a stream and reads its answer to the end. Returns its status, or `lost` if it breaks off. */
    private static String ask(Socket socket, BufferedInputStream in, String id, String suffix) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Fleet.HOST);
        headers.put("Bergamotwall-Request-Id", id);
        headers.put("Bergamotwall-Deadline-Ms", "10000");
        headers.put("Bergamotwall-Model", MODEL);
        headers.put("Bergamotwall-Token-Usage", "271,400");
        headers.put("Bergamotwall-Prompt-Prefix", "9c2e41:255,5d07b8:16");
        Record.log("caller sends %s", id);
        Http.write(socket.getOutputStream(), "POST " + PREFIX + id + suffix + " HTTP/1.1", headers,
                "{}".getBytes(StandardCharsets.UTF_8));
        Http.Message answer = Http.readHead(in);
        if (answer == null) {
            Record.log("%s: channel closed without an answer", id);
            return "lost before its head";
        }
        try {
            Http.readBody(in, answer, true);
        } catch (Exception e) {
            Record.log("%s: %s, then broken off: %s", id, answer.startLine, e.getMessage());
            return "lost on the way";
        }
        Record.log("%s: %s, whole answer of %d bytes", id, answer.startLine, answer.body.length);
        return String.valueOf(answer.status());
    }

    private static void await(long millis) throws InterruptedException {
        long left = millis - Record.now();
        if (left > 0) Thread.sleep(left);
    }
}
