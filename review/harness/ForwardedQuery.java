import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Callers send ordinary paths and queries with percent-encoded characters. Replicas run other ones. */
final class ForwardedQuery extends Review {
    private static final String PREFIX = "/desk/";
    private static final List<String> PLAIN = List.of("4711", "4711/notes", "find?shop=12&open=1");
    private static final List<String> ENCODED =
            List.of("find?shop=Sint%20Niklaas&open=1", "find?code=%41%42", "list;page=2", "notes//4711", "%7Eclerk");

    /** Keeps the target of each request that reached a replica. */
    private static final class Desk extends Fleet {
        final Map<String, String> targets = new ConcurrentHashMap<>();

        Desk() throws Exception {
        }

        @Override
        String body(Http.Message request) {
            targets.put(request.headers.get("Bergamotwall-Request-Id"), request.target());
            return "done";
        }
    }

    public static void main(String[] arguments) {
        run(new ForwardedQuery(), arguments);
    }

    @Override
    boolean play() throws Exception {
        Desk fleet = new Desk();
        fleet.replicas.add(new ReplicaStandIn(fleet, "i-0001", "desk", "dakar-a", 6, null));
        fleet.replicas.add(new ReplicaStandIn(fleet, "i-0002", "desk", "dakar-b", 6, null));
        fleet.configure(List.of(Fleet.route("r-desk", PREFIX, "non_idempotent", "desk", 1_500, 185)),
                List.of(Fleet.service("desk", null)));
        fleet.start(3);
        int changed = 0;
        List<String> paths = TROUBLE ? ENCODED : PLAIN;
        for (int i = 0; i < paths.size(); i++) {
            String target = PREFIX + paths.get(i);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Fleet.HOST);
            headers.put("Bergamotwall-Request-Id", "q" + i);
            headers.put("Bergamotwall-Deadline-Ms", "1500");
            Http.Message answer = Http.call(fleet.entries.get(i % 3).front, "POST", target, headers,
                    "{}".getBytes(StandardCharsets.UTF_8), 3_000);
            String ran = fleet.targets.get("q" + i);
            Record.log("sent %s, answered %d, ran %s", target, answer.status(), ran);
            if (ran != null && !ran.equals(target)) changed++;
        }
        Record.log("%d requests ran with another path or query", changed);
        return changed == 0;
    }
}
