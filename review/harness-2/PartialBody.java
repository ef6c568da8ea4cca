import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/** A replica crashes while it works on a request whose long body is still on its way: the request runs once more. */
final class PartialBody extends Case {
    private static final int BODY_BYTES = 16_000_000;
    private static final int REQUESTS = 5;
    /** How long a replica that has crashed is down. */
    private static final long DOWN_MILLIS = 4_500;
    private final List<String> runs = new CopyOnWriteArrayList<>();
    /** The request under which the next replica that runs it crashes, null if none does. */
    private final AtomicReference<String> crashing = new AtomicReference<>();

    PartialBody() throws IOException {
    }

    /** Begins to work once it has read the first part of a body, and reads on while it works. */
    private final class Uploads extends Replica {
        private volatile boolean crashed;

        Uploads(String id, String zone) {
            super(id, "restock-desk", zone, 6);
            receiveBytes = 65_536;
        }

        @Override
        boolean serve(String requestId, Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
            in.readNBytes(16_384);
            runs.add(requestId);
            log("replica %s begins to work on %s", id, requestId);
            sleep(50);
            if (requestId.equals(crashing.get()) && crashing.getAndSet(null) != null) {
                log("replica %s crashes", id);
                crashed = true;
                crash();
                return false;
            }
            in.readNBytes(Integer.parseInt(head.get("Content-Length")) - 16_384);
            log("replica %s answers %s", id, requestId);
            Http.respond(channel.getOutputStream(), 200, fields(requestId, true), "done".getBytes());
            return true;
        }
    }

    @Override
    String run() throws Exception {
        store.open();
        Uploads[] replicas = {new Uploads("i-1", "gent-dock"), new Uploads("i-2", "antwerp-dock"),
                new Uploads("i-3", "leuven-dock")};
        configure(4, List.of(route("/desk/", "non_idempotent", "restock-desk")),
                List.of(Json.of("name", "restock-desk", "healthPath", "/healthz", "maxConnections", 96L)));
        for (Uploads replica : replicas) {
            replica.open();
            replica.register(store, "ready");
        }
        start(2, 1);
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "9c41d07be2a35f6" + i;
            crashing.set(trouble ? id : null);
            Node entry = entries.get(i % entries.size());
            String answer;
            try {
                answer = "" + Http.call(entry.front, "POST", "/desk/" + i, fields(id), new byte[BODY_BYTES], 12_000)
                        .status();
            } catch (IOException e) {
                answer = e.toString();
            }
            log("request %s: answered %s", id, answer);
            if (!trouble) continue;
            sleep(DOWN_MILLIS);
            for (Uploads replica : replicas) {
                if (!replica.crashed) continue;
                replica.open();
                replica.crashed = false;
                replica.register(store, "ready");
                log("replica %s is back", replica.id);
            }
            sleep(1_500);
        }
        List<String> twice = runs.stream().distinct().filter(id -> runs.stream().filter(id::equals).count() > 1)
                .toList();
        log("runs: %s", runs);
        return twice.isEmpty() ? null : "TWICE: more than one run of " + twice;
    }
}
