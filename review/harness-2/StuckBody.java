import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/** A replica spoils the bytes of one answer: the entry that passes it on answers nobody for many seconds. */
final class StuckBody extends Case {
    private static final int BODY_BYTES = 12_000_000;
    private static final long PING_TIMEOUT_MILLIS = 1_500;
    private static final long SLACK_MILLIS = 500;
    private static final long WATCHED_MILLIS = 20_000;

    private record Ping(Node entry, long answeredAfterMillis, String answer) {
    }

    private final List<Ping> pings = Collections.synchronizedList(new ArrayList<>());

    StuckBody() throws IOException {
    }

    @Override
    String run() throws Exception {
        store.open();
        Replica desk = new Replica("i-1", "restock-desk", "gent-dock", 60);
        Replica archive = new Replica("i-2", "archive", "gent-dock", 6) {
            @Override
            boolean serve(String requestId, Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
                Http.readBody(head, in, false);
                byte[] body = new byte[BODY_BYTES];
                Arrays.fill(body, (byte) '.');
                byte[] quoted = "GET /desk/7 HTTP/1.1 was answered 200\n".getBytes();
                System.arraycopy(quoted, 0, body, 0, quoted.length);
                // The replica spoils its answer: from here on it sends the same byte again and again.
                if (trouble) Arrays.fill(body, quoted.length, body.length, (byte) 'H');
                log("replica %s answers %s%s", id, requestId, trouble ? " with wrong bytes" : "");
                Http.respond(channel.getOutputStream(), 200, fields(requestId, true), body);
                return true;
            }
        };
        for (Replica replica : List.of(desk, archive)) {
            replica.open();
            replica.register(store, "ready");
        }
        configure(4, List.of(
                route("/desk/", "idempotent", "restock-desk", "timeoutMs", PING_TIMEOUT_MILLIS, "targetLatencyMs", 186L),
                route("/archive/", "idempotent", "archive", "timeoutMs", 10_000L)),
                List.of(Json.of("name", "restock-desk", "healthPath", "/healthz", "maxConnections", 96L),
                        Json.of("name", "archive", "healthPath", "/healthz", "maxConnections", 96L)));
        start(3, 1);
        List<Thread> clients = new ArrayList<>();
        Node first = entries.get(0);
        clients.add(thread(() -> readArchive(first)));
        long until = elapsedMillis() + WATCHED_MILLIS;
        for (int n = 0; elapsedMillis() < until; n++) {
            Node entry = entries.get(n % entries.size());
            String id = String.format("9c41d07be2a%05d", n);
            clients.add(thread(() -> ping(entry, id)));
            sleep(100);
        }
        for (Thread client : clients) client.join(15_000);
        List<Ping> late = pings.stream().filter(ping -> ping.answeredAfterMillis() > PING_TIMEOUT_MILLIS).toList();
        long later = late.stream().filter(ping -> ping.answeredAfterMillis() > PING_TIMEOUT_MILLIS + SLACK_MILLIS)
                .count();
        log("%d requests; %d were unanswered at their route's timeoutMs, %d of these half a second later", pings.size(),
                late.size(), later);
        return later * 2 > late.size() && later >= 8 ? "CONFIG: " + later + " of " + late.size()
                + " requests have no answer half a second after their route's timeoutMs" : null;
    }

    private void readArchive(Node entry) {
        log("a client asks %s for a long answer", entry.name);
        String answer;
        try {
            Http.Response response = Http.call(entry.front, "GET", "/archive/1", fields("5b20c7d1e90f3a64"), null,
                    25_000);
            answer = response.status() + ", " + response.body().length + " bytes";
        } catch (IOException e) {
            answer = e.toString();
        }
        log("the long answer: %s", answer);
    }

    private void ping(Node entry, String id) {
        long start = System.nanoTime();
        String answer;
        try {
            answer = "" + Http.call(entry.front, "POST", "/desk/7", fields(id), new byte[600], 12_000).status();
        } catch (IOException e) {
            answer = e.toString();
        }
        long millis = (System.nanoTime() - start) / 1_000_000;
        if (millis > 1_000) log("request %s at %s: %s after %d ms", id, entry.name, answer, millis);
        pings.add(new Ping(entry, millis, answer));
    }
}
