import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A request crashes each replica that begins to run it and comes again. The replicas are back after some seconds, under
 * the ids that they had. The crashes of one id count once, so a service of two replicas never sees the third one.
 */
final class CrashingRequest extends Review {
    private static final String PREFIX = "/desk/";
    private static final int BACK_AFTER_MILLIS = 3_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int ALLOWED_RETRIES = 3;
    private static final int COMES_AGAIN_MILLIS = 1_000;
    private static final int LENGTH_MILLIS = 75_000;

    /** A replica that crashes as soon as it runs the request. */
    private final class Replica extends ReplicaStandIn {
        Replica(Fleet fleet, String id, String zone) throws IOException {
            super(fleet, id, "desk", zone, 6, null);
        }

        @Override
        boolean run(Http.Message request, Run run, Socket socket, BufferedInputStream in) throws Exception {
            if (!TROUBLE || !request.path().endsWith("/deadly")) return super.run(request, run, socket, in);
            run.end = "the replica has crashed";
            noteCrash();
            crash();
            HttpServer.daemon(() -> {
                try {
                    Thread.sleep(BACK_AFTER_MILLIS);
                    reborn();
                    Record.log("replica %s is back", id);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            return false;
        }
    }

    private final AtomicLong thirdCrashAtMillis = new AtomicLong();
    private int crashes;

    public static void main(String[] arguments) {
        run(new CrashingRequest(), arguments);
    }

    @Override
    boolean play() throws Exception {
        Fleet fleet = new Fleet();
        fleet.replicas.add(new Replica(fleet, "i-0001", "dakar-a"));
        fleet.replicas.add(new Replica(fleet, "i-0002", "dakar-b"));
        Map<String, Object> route = Fleet.route("r-desk", PREFIX, "idempotent", "desk", 1_500, 185);
        route.put("maxAttempts", 2L);
        fleet.configure(List.of(route), List.of(Fleet.service("desk", null)));
        fleet.start(3);
        for (int i = 0; Record.now() < LENGTH_MILLIS; i++) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Fleet.HOST);
            headers.put("Bergamotwall-Request-Id", "d" + i);
            headers.put("Bergamotwall-Deadline-Ms", "1500");
            try {
                Http.Message answer = Http.call(fleet.entries.get(i % 3).front, "POST", PREFIX + "deadly", headers,
                        "{\"bad\":1}".getBytes(StandardCharsets.UTF_8), 3_000);
                Record.log("d%d: %s %s", i, answer.startLine, answer.headers.get("Retry-After"));
            } catch (IOException e) {
                Record.log("d%d: %s", i, e);
            }
            Thread.sleep(COMES_AGAIN_MILLIS);
        }
        long third = thirdCrashAtMillis.get();
        long retries = third == 0 ? 0
                : fleet.runs.stream().filter(run -> run.startedAtMillis > third + CONTACT_MILLIS).count();
        Record.log("third crash at %d; the request reached replicas %d times later than %d", third, retries,
                third + CONTACT_MILLIS);
        return retries <= ALLOWED_RETRIES;
    }

    private synchronized void noteCrash() {
        if (++crashes == 3) thirdCrashAtMillis.set(Record.now());
    }
}
