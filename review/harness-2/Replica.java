import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A replica of a plain service, or of a service of models if [models] is not empty. */
class Replica extends HttpPeer {
    final String id;
    final String service;
    final String zone;
    final String[] models;
    final int capacity;
    /** How long a request of a plain service takes, and the pause between two events of a model. */
    long workMillis = 30;
    int events = 10;

    Replica(String id, String service, String zone, int capacity, String... models) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        this.models = models;
    }

    /** Writes the entry of the replica, in [state]. */
    final void register(Store store, String state) {
        Map<String, Object> entry = Json.of("service", service, "address", address(), "zone", zone, "version", "v1",
                "capacity", (long) capacity, "state", state, "coldRemainingMs", 0L, "sequence", 1L);
        if (models.length > 0) {
            entry.put("phase", "both");
            entry.put("models", java.util.Arrays.stream(models).map(model -> (Object) Json.of("name", model, "version",
                    1L, "loraAdapters", java.util.List.of())).toList());
        }
        store.write("servers/" + id, entry);
    }

    @Override
    boolean handle(Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
        OutputStream out = channel.getOutputStream();
        String requestId = head.get("Bergamotwall-Request-Id");
        String expected = head.get("Bergamotwall-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.readBody(head, in, false);
            Http.respond(out, 421, fields(requestId, false), new byte[0]);
            return true;
        }
        if (requestId == null) {
            Http.readBody(head, in, false);
            Http.respond(out, 400, "Bergamotwall-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        return serve(requestId, head, channel, in);
    }

    /** Runs the request. Returns whether the channel is kept. */
    boolean serve(String requestId, Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
        Http.readBody(head, in, false);
        Case.log("replica %s runs %s", id, requestId);
        if (models.length > 0) {
            stream(requestId, head, channel.getOutputStream());
        } else {
            Case.sleep(workMillis);
            Http.respond(channel.getOutputStream(), 200, fields(requestId, true),
                    ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
        }
        return true;
    }

    final void stream(String requestId, Http.Head head, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBergamotwall-Weight-Versions: 1\r\n"
                + fields(requestId, true) + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        String after = head.get("Last-Event-Id");
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
            Case.sleep(workMillis);
            String text = "id: " + event + "\ndata: " + requestId + " event " + event + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Fields of a response, with the replica's stamp if it has run the request. */
    static String fields(String requestId, boolean ran) {
        return "Bergamotwall-Request-Id: " + requestId + "\r\n"
                + (ran ? "Bergamotwall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" : "");
    }
}
