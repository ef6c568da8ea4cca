import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A replica, as PROTOCOL.md has it; how it answers requests is up to the case. It registers itself in the store. */
final class Replica {
    /** Answers a request that has begun to run; returns whether the channel is kept. */
    interface Work {
        boolean run(Replica replica, Http.Request request, Socket socket) throws Exception;
    }

    final String id;
    final String service;
    final List<Map<String, Object>> models = new ArrayList<>();
    private final Store store;
    private final Record record;
    private final ServerSocket server;
    private final Work work;
    /** How often each request began to run here, by id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    volatile int capacity = 12;
    private volatile String state = "ready";
    private long sequence;

    Replica(String id, String service, Store store, Record record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.record = record;
        this.work = work;
        server = Http.serve("127.0.0.1", this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void register() {
        store.put("servers/" + id, Json.of("service", service, "address", address(), "zone", "zone-a",
                "version", "v1", "capacity", capacity, "state", state, "coldRemainingMs", 0, "phase", "both",
                "models", models, "sequence", sequence, "born", 1_700_000_000_000L));
    }

    private boolean handle(Http.Request request, Socket socket) throws Exception {
        String path = request.path();
        if (path.equals("/healthz")) {
            Http.respond(socket, 200, List.of("Bergamotwall-Instance-Id: " + id), new byte[0]);
            return true;
        }
        if (path.equals("/api/report")) {
            byte[] body = Json.write(Json.of("phase", "both", "models", models, "busy", false, "sequence", sequence,
                    "numWaiting", 0, "numRunning", 0, "kvUsed", 0, "kvTotal", 45_397, "handles", 0)).getBytes();
            Http.respond(socket, 200, List.of("Content-Type: application/json"), body);
            return true;
        }
        if (path.equals("/api/order")) {
            sequence++;
            Http.respond(socket, 200, List.of(), new byte[0]);
            return true;
        }
        String request_id = request.headers.get("bergamotwall-request-id");
        String expected = request.headers.get("bergamotwall-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(socket, 421, List.of("Bergamotwall-Instance-Id: " + id), new byte[0]);
            return true;
        }
        int run = runs.merge(request_id, 1, Integer::sum);
        record.line("replica " + id + " runs " + request_id + " (" + request.method + " " + request.target
                + ", deadline " + request.headers.get("bergamotwall-deadline-ms") + ", last event "
                + request.headers.get("last-event-id") + "), run " + run);
        return work.run(this, request, socket);
    }

    /** The headers that a replica adds to each of its responses. */
    List<String> headers(Http.Request request) {
        List<String> headers = new ArrayList<>();
        headers.add("Bergamotwall-Request-Id: " + request.headers.get("bergamotwall-request-id"));
        headers.add("Bergamotwall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1");
        if (!models.isEmpty()) headers.add("Bergamotwall-Weight-Versions: " + models.get(0).get("version"));
        return headers;
    }

    void respond(Socket socket, Http.Request request, int status, String body) throws IOException {
        Http.respond(socket, status, headers(request), body.getBytes());
    }
}
