import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica of a service. It runs up to [capacity] requests at once and refuses more as not run. Models' replicas
 * stream events; others answer with a body. It drops a request when its channel closes.
 */
class ReplicaStandIn extends HttpServer {
    /** One run of a request at a replica. */
    static final class Run {
        final String request;
        final String replica;
        final long startedAtMillis;
        final long resumedAfter;
        volatile String end = "running";

        Run(String request, String replica, long resumedAfter) {
            this.request = request;
            this.replica = replica;
            this.resumedAfter = resumedAfter;
            startedAtMillis = Record.now();
        }
    }

    final String id;
    final String service;
    final String zone;
    final int capacity;
    /** Name of the model that the replica serves, null if it is none of a model. */
    final String model;
    private final Fleet fleet;
    private long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private long orders;

    ReplicaStandIn(Fleet fleet, String id, String service, String zone, int capacity, String model)
            throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        this.model = model;
    }

    /** Begins a new lifetime after [crash], under the same id. */
    final void reborn() throws IOException {
        restart();
        born = System.currentTimeMillis();
        orders = 0;
        register();
    }

    /** Writes the replica's entry to the store. */
    final void register() {
        Map<String, Object> entry = Json.of("service", service, "address", address(), "zone", zone, "version", "v1",
                "capacity", (long) capacity, "state", "ready", "coldRemainingMs", 0L, "sequence", 1L, "born", born);
        if (model != null) {
            entry.put("phase", "both");
            entry.put("models", java.util.List.of(
                    Json.of("name", model, "version", 1L, "loraAdapters", java.util.List.of())));
        }
        fleet.store.put("servers/" + id, entry);
    }

    @Override
    boolean serve(Http.Message request, Socket socket, BufferedInputStream in) throws Exception {
        OutputStream out = socket.getOutputStream();
        String expected = request.headers.get("Bergamotwall-Expect-Instance");
        if (expected != null && !expected.equals(id)) return answer(out, 421, request, Map.of(), "");
        if (request.path().equals("/api/report")) return report(out, request);
        if (request.path().equals("/api/order")) return order(out, request);
        String requestId = request.headers.get("Bergamotwall-Request-Id");
        if (requestId == null) return answer(out, 400, request, Map.of("Bergamotwall-Not-Executed", "1"), "");
        if (running.incrementAndGet() > capacity) {
            running.decrementAndGet();
            fleet.arrived(this, request, "503, not run");
            return answer(out, 503, request, Map.of("Bergamotwall-Not-Executed", "1"), "");
        }
        String resumed = request.headers.get("Last-Event-Id");
        Run run = new Run(requestId, id, resumed == null ? 0 : Long.parseLong(resumed));
        fleet.started(this, request, run);
        try {
            return run(request, run, socket, in);
        } catch (IOException e) {
            run.end = "channel closed";
            throw e;
        } finally {
            running.decrementAndGet();
            Record.log("replica %s: run of %s ended: %s", id, requestId, run.end);
        }
    }

    /** Runs [request]. Returns whether the channel is kept. */
    boolean run(Http.Message request, Run run, Socket socket, BufferedInputStream in) throws Exception {
        OutputStream out = socket.getOutputStream();
        if (model == null) {
            if (!waitWhileOpen(fleet.workMillis(request), in, socket)) throw new IOException("closed");
            boolean kept = answer(out, 200, request, stamp(), fleet.body(request));
            run.end = "answered 200";
            return kept;
        }
        writeHead(out, request, true);
        int events = fleet.events(request);
        for (long event = run.resumedAfter + 1; event <= events; event++) {
            if (!waitWhileOpen(fleet.gapMillis(request), in, socket)) throw new IOException("closed");
            byte[] bytes = event(request, event).getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        run.end = "whole stream of " + events + " events sent";
        return true;
    }

    /** Event [number] of the stream that answers [request]. */
    final String event(Http.Message request, long number) {
        return "id: " + number + "\ndata: " + fleet.eventData(request.headers.get("Bergamotwall-Request-Id"), number)
                + "\n\n";
    }

    /** Writes the head of a stream, [chunked] or without a length. */
    final void writeHead(OutputStream out, Http.Message request, boolean chunked) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.append("Bergamotwall-Request-Id: ").append(request.headers.get("Bergamotwall-Request-Id")).append("\r\n");
        head.append("Bergamotwall-Weight-Versions: 1\r\n");
        stamp().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append(chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Waits; returns false as soon as the other side has closed the channel. */
    static boolean waitWhileOpen(long millis, BufferedInputStream in, Socket socket) throws IOException {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        long left;
        while ((left = (endNanos - System.nanoTime()) / 1_000_000) > 0) {
            socket.setSoTimeout((int) left);
            try {
                in.mark(1);
                if (in.read() < 0) return false;
                in.reset();
                Thread.sleep(left);
            } catch (java.net.SocketTimeoutException e) {
                break;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                socket.setSoTimeout(0);
            }
        }
        return true;
    }

    private boolean report(OutputStream out, Http.Message request) throws IOException {
        String body = Json.write(Json.of("phase", "both", "models",
                java.util.List.of(Json.of("name", String.valueOf(model), "version", 1L, "loraAdapters",
                        java.util.List.of())),
                "busy", false, "sequence", orders, "numWaiting", 0L, "numRunning", (long) running.get(), "kvUsed", 0L,
                "kvTotal", 45_397L, "handles", 0L));
        Http.write(out, "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private boolean order(OutputStream out, Http.Message request) throws IOException {
        Record.log("replica %s: order %s", id, request.text());
        Http.write(out, "HTTP/1.1 200 OK", Map.of(), new byte[0]);
        return true;
    }

    private boolean answer(OutputStream out, int status, Http.Message request, Map<String, String> more, String body)
            throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(more);
        String requestId = request.headers.get("Bergamotwall-Request-Id");
        if (requestId != null) headers.put("Bergamotwall-Request-Id", requestId);
        headers.put("Bergamotwall-Instance-Id", id);
        headers.put("Bergamotwall-Replica-Load", Math.min(running.get(), capacity) + ",0," + capacity);
        Http.write(out, "HTTP/1.1 " + status + " Answer", headers, body.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private Map<String, String> stamp() {
        return Map.of("Bergamotwall-Server-Stamp", "stamp." + id);
    }
}
