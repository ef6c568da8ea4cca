import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The owner of a batch submission is killed; clients that ask for bodies of its items end the other entries. */
final class BodyReads extends Case {
    private static final long LAST_ROUND_MILLIS = 85_000;
    /** Longest wait for another process to take the batch over. */
    private static final long TAKEOVER_MILLIS = 8_000;
    private static final int ITEMS = 48;
    private static final int BODY_BYTES = 128_000;
    private static final int CLIENTS = 40;
    private static final int READS = 3;
    /** How long a machine of the system is killed for on the deployment's days. */
    private static final long DOWN_MILLIS = 2_900;

    BodyReads() throws IOException {
    }

    @Override
    String run() throws Exception {
        store.open();
        for (int i = 1; i <= 4; i++) {
            Replica replica = new Replica("i-" + i, "ordering-assistant", "gent-dock", 12, "m0");
            // Long generations, so that the batch is open all the while.
            replica.workMillis = 1_000;
            replica.events = 174;
            replica.open();
            replica.register(store, "ready");
        }
        configure(4, List.of(route("/plan/", "rollout", "ordering-assistant", "runTargetMs", 100_000L, "retentionS",
                200L)), List.of(Json.of("name", "ordering-assistant", "healthPath", "/healthz", "maxConnections", 150L,
                "engine", Json.of("capacity", 12L, "kvCapacityTokens", 45_397L, "models",
                        List.of(Json.of("name", "m0"))))));
        start(6, 3);
        restartEnded();
        String id = "7c41e09b52d6a3f8";
        List<Object> items = new ArrayList<>();
        for (int n = 0; n < ITEMS; n++) items.add(item(id + n, "/plan/3/" + n, "g" + n / 4, "m0", BODY_BYTES));
        byte[] body = submission("m0", 1, 10, items);
        int status = Http.call(entries.get(0).front, "POST", "/plan/" + id, fields(id), body, 8_000).status();
        log("batch of %d bytes: %d", body.length, status);
        if (status != 202) throw new IOException("the batch was not accepted");
        String owner = null;
        for (int round = 1; elapsedMillis() < LAST_ROUND_MILLIS && !endedTooOften(); round++) {
            long until = elapsedMillis() + TAKEOVER_MILLIS;
            while (owner(id).equals(owner) && elapsedMillis() < until) sleep(100);
            sleep(1_000);
            owner = owner(id);
            round(round, owner, id);
        }
        sleep(2_000);
        stopRestarts();
        return brokenByEnds();
    }

    private String owner(String id) {
        return (String) store.read("bergamotwall/batches/" + id).get("owner");
    }

    /** The process [owner] is killed while the clients read. */
    private void round(int round, String owner, String id) throws Exception {
        List<Node> all = new ArrayList<>(entries);
        all.addAll(runners);
        Node killed = all.stream().filter(node -> node.name.equals(owner)).findFirst().orElseThrow();
        log("round %d: the batch is owned by %s", round, owner);
        if (trouble) kill(killed);
        List<Node> others = entries.stream().filter(node -> node != killed).toList();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.add(thread(() -> read(client, id, others)));
        }
        sleep(DOWN_MILLIS);
        if (trouble) {
            restart(killed);
            killed.killed = false;
        }
        for (Thread client : clients) client.join();
    }

    private static void read(int client, String id, List<Node> entries) {
        for (int n = 0; n < READS; n++) {
            Node entry = entries.get((client + n) % entries.size());
            String item = id + (client * 7 + n) % ITEMS;
            String answer;
            try {
                Http.Response read = Http.call(entry.front, "GET", "/api/items/" + id + "?replicaId=" + item,
                        fields(null), null, 4_000);
                answer = read.status() + ", " + read.body().length + " bytes";
            } catch (IOException e) {
                answer = e.toString();
            }
            log("client %d: body of %s at %s: %s", client, item, entry.name, answer);
        }
    }
}
