import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A replica answers a request before it has read the whole of its long body; the answer is lost and the channel reset:
 * the request runs once more.
 */
final class PartialBody extends Case {
    private static final int LONG_BYTES = 16_000_000;
    private static final int SHORT_BYTES = 600;
    private static final int ROUNDS = 6;
    /** Longest time for which answers of the replica are lost, and the pause between two such times. */
    private static final long LOSS_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 3_000;
    /** At most one in so many of the answers of the replica is lost. */
    private static final int RUNS_PER_LOSS = 20;

    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final Desk[] replicas = {new Desk("i-1", "gent-dock"), new Desk("i-2", "antwerp-dock"),
            new Desk("i-3", "leuven-dock")};
    /** The replica whose answer to its next long request is lost, null if none is. */
    private volatile Desk losing;

    PartialBody() throws IOException {
    }

    /** Works on a request as soon as the first part of its body is there, and answers when the work is done. */
    private final class Desk extends Replica {
        private volatile int served;

        Desk(String id, String zone) {
            super(id, "restock-desk", zone, 6);
            receiveBytes = 65_536;
        }

        @Override
        boolean serve(String requestId, Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
            int length = Integer.parseInt(head.get("Content-Length"));
            int first = Math.min(length, 16_384);
            in.readNBytes(first);
            runs.add(requestId);
            served++;
            log("replica %s begins to work on %s", id, requestId);
            sleep(workMillis);
            if (losing == this && length == LONG_BYTES) {
                losing = null;
                log("replica %s has done its work on %s; its answer 200 is lost, the channel is reset", id, requestId);
                channel.setSoLinger(true, 0);
                return false;
            }
            in.readNBytes(length - first);
            log("replica %s answers %s", id, requestId);
            Http.respond(channel.getOutputStream(), 200, fields(requestId, true), "done".getBytes());
            return true;
        }
    }

    @Override
    String run() throws Exception {
        store.open();
        configure(4, List.of(route("/desk/", "non_idempotent", "restock-desk")),
                List.of(Json.of("name", "restock-desk", "healthPath", "/healthz", "maxConnections", 96L)));
        for (Desk replica : replicas) {
            replica.open();
            replica.register(store, "ready");
        }
        start(2, 1);
        int number = 0;
        for (int round = 0; round < ROUNDS; round++) {
            log("round %d", round + 1);
            long until = elapsedMillis() + LOSS_MILLIS;
            for (Desk replica : replicas) replica.served = 0;
            while (busiest().served < RUNS_PER_LOSS && elapsedMillis() < until) {
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    int n = number++;
                    clients.add(thread(() -> send(n, SHORT_BYTES)));
                }
                for (Thread client : clients) client.join();
            }
            losing = trouble && busiest().served >= RUNS_PER_LOSS ? busiest() : null;
            for (int i = 0; i < 6 && elapsedMillis() < until && (i == 0 || losing != null); i++) {
                send(number++, LONG_BYTES);
            }
            losing = null;
            sleep(PAUSE_MILLIS);
        }
        List<String> twice = runs.stream().distinct().filter(id -> runs.stream().filter(id::equals).count() > 1)
                .toList();
        log("%d runs of %d requests", runs.size(), number);
        return twice.isEmpty() ? null : "TWICE: more than one run of " + twice;
    }

    private Desk busiest() {
        return Arrays.stream(replicas).max(Comparator.comparingInt(replica -> replica.served)).orElseThrow();
    }

    private void send(int number, int bytes) {
        String id = String.format("9c41d07be2a3%04d", number);
        Node entry = entries.get(number % entries.size());
        String answer;
        try {
            answer = "" + Http.call(entry.front, "POST", "/desk/" + number, fields(id), new byte[bytes], 12_000)
                    .status();
        } catch (IOException e) {
            answer = e.toString();
        }
        log("request %s of %d bytes: answered %s", id, bytes, answer);
    }
}
