import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many batch submissions with large bodies are open at once: the processes that hold them run out of memory. */
final class OpenBatches extends Case {
    private static final int WAVES = 5;
    private static final int BATCHES = 100;
    private static final int ITEMS = 8;
    private static final int BODY_BYTES = 240_000;
    private static final int ORDINARY_BYTES = 600;
    /** Time from the start of the case to the start of the first wave, and from wave to wave. */
    private static final long WAVE_MILLIS = 15_000;
    private static final long LAST_ATTEMPT_MILLIS = 12_000;
    private static final long END_MILLIS = 92_000;
    private final Map<String, Integer> accepted = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    OpenBatches() throws IOException {
    }

    @Override
    String run() throws Exception {
        store.open();
        for (int i = 1; i <= 8; i++) {
            Replica replica = new Replica("i-" + i, "ordering-assistant", "gent-dock", 12, "m0") {
                @Override
                boolean serve(String requestId, Http.Head head, java.net.Socket channel, java.io.BufferedInputStream in)
                        throws Exception {
                    Http.readBody(head, in, false);
                    runs.incrementAndGet();
                    log("replica %s runs %s", id, requestId);
                    stream(requestId, head, channel.getOutputStream());
                    return true;
                }
            };
            replica.workMillis = 20;
            replica.events = 150;
            replica.open();
            replica.register(store, "ready");
        }
        configure(4, List.of(route("/plan/", "rollout", "ordering-assistant", "runTargetMs", 30_000L, "retentionS",
                120L)), List.of(Json.of("name", "ordering-assistant", "healthPath", "/healthz", "maxConnections", 150L,
                "engine", Json.of("capacity", 12L, "kvCapacityTokens", 45_397L, "models",
                        List.of(Json.of("name", "m0"))))));
        start(6, 3);
        restartEnded();
        List<Thread> clients = new ArrayList<>();
        long firstAtMillis = elapsedMillis();
        for (int wave = 0; wave < WAVES; wave++) {
            while (elapsedMillis() < firstAtMillis + wave * WAVE_MILLIS && !endedTooOften()) sleep(100);
            if (endedTooOften()) break;
            log("wave %d of %d batches", wave + 1, BATCHES);
            long lastAttemptMillis = elapsedMillis() + LAST_ATTEMPT_MILLIS;
            for (int i = 0; i < BATCHES; i++) {
                String id = String.format("7c41e09b52d6%d%03d", wave, i);
                clients.add(thread(() -> submit(id, lastAttemptMillis)));
                sleep(40);
            }
        }
        for (Thread client : clients) {
            while (client.isAlive() && elapsedMillis() < END_MILLIS && !endedTooOften()) client.join(100);
        }
        while (elapsedMillis() < END_MILLIS && !endedTooOften() && complete() < accepted.size()) sleep(1_000);
        stopRestarts();
        log("%d of %d batches were answered 202", accepted.size(), clients.size());
        log("%d of these are known to be complete; %d runs of %d items",
                accepted.values().stream().filter(count -> count == ITEMS).count(), runs.get(),
                accepted.size() * ITEMS);
        return brokenByEnds();
    }

    /** Submits batch [id] as a trainer does: at another entry after a refusal or no answer. */
    private void submit(String id, long lastAttemptMillis) {
        List<Object> items = new ArrayList<>();
        int bytes = trouble ? BODY_BYTES : ORDINARY_BYTES;
        for (int n = 0; n < ITEMS; n++) items.add(item(id + "-" + n, "/plan/3/" + n, "g" + id, "m0", bytes));
        byte[] body = submission("m0", 1, 1, items);
        Random random = new Random(id.hashCode());
        while (elapsedMillis() < lastAttemptMillis) {
            Node entry = entries.get(random.nextInt(entries.size()));
            String answer;
            try {
                int status = Http.call(entry.front, "POST", "/plan/" + id, fields(id), body, 8_000).status();
                answer = "" + status;
                if (status == 202) accepted.put(id, 0);
            } catch (IOException e) {
                answer = e.toString();
            }
            log("batch %s of %d bytes at %s: %s", id, body.length, entry.name, answer);
            if (answer.equals("202")) return;
            sleep(500);
        }
    }

    /** Number of accepted batches of which all results can be read. */
    private int complete() {
        int index = 0;
        for (Map.Entry<String, Integer> batch : accepted.entrySet()) {
            if (batch.getValue() == ITEMS || elapsedMillis() > END_MILLIS) continue;
            Node entry = entries.get(index++ % entries.size());
            try {
                Http.Response page = Http.call(entry.front, "GET", "/api/lots/" + batch.getKey() + "?after=0",
                        fields(null), null, 2_000);
                if (page.status() == 200) {
                    String text = new String(page.body(), StandardCharsets.UTF_8);
                    accepted.put(batch.getKey(), ((List<?>) Json.object(text).get("results")).size());
                }
            } catch (IOException e) {
                // The entry is down.
            }
        }
        return (int) accepted.values().stream().filter(count -> count == ITEMS).count();
    }
}
