import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The path of the leader for weight orders becomes slow and then silent: its successor orders within the time that
 * engines require between two holders.
 */
final class ResignedLeader extends Case {
    private static final long LEASE_TTL_MILLIS = 3_000;
    /** How late an order arrives over the disturbed path. */
    private static final long DELAY_MILLIS = 800;
    private static final long LOAD_MILLIS = 900;
    private static final String[] MODELS = {"m0", "m1"};
    /** As long as single machines are cut off on the deployments' sheets and days. */
    private static final long CUT_MILLIS = 5_500;

    private record Order(String engine, String holder, long fence, long atMillis) {
    }

    private final List<Order> orders = new ArrayList<>();
    /** The leader whose path to the engines is disturbed, null if none is. */
    private volatile String disturbed;
    private volatile boolean cut;

    ResignedLeader() throws IOException {
    }

    private final class Engine extends Replica {
        private final Map<String, Long> versions = new TreeMap<>();
        private long accepted;
        private boolean busy;

        Engine(String id, String zone) {
            super(id, "ordering-assistant", zone, 12, MODELS);
            for (String model : MODELS) versions.put(model, 1L);
        }

        @Override
        boolean handle(Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
            String body = new String(Http.readBody(head, in, false), StandardCharsets.UTF_8);
            boolean order = head.path().equals("/api/order");
            Map<String, Object> call = order ? Json.object(body) : Json.of();
            // Only the leader calls /api/report.
            String caller = order ? (String) call.get("holder") : leader();
            if (caller != null && caller.equals(disturbed)) {
                // The path to one engine is slow, then silent; that to the other one is silent already.
                if (order && !cut) {
                    sleep(DELAY_MILLIS);
                    cut = true;
                } else if (cut || id.equals("i-2")) {
                    log("link: %s %s of %s to %s is lost", head.method(), head.path(), caller, id);
                    sleep(30_000);
                    return false;
                }
            }
            if (order) return order(call, channel);
            if (head.path().equals("/api/report")) return report(channel);
            return super.handle(head, channel, in);
        }

        private boolean order(Map<String, Object> call, Socket channel) throws Exception {
            String model = (String) call.get("model");
            int status;
            synchronized (this) {
                boolean matches = call.get("expected") == null || (Long) call.get("expected") == accepted;
                status = versions.get(model) >= (Long) call.get("version") ? 200 : busy || !matches ? 409 : 202;
                if (status == 202) {
                    accepted++;
                    busy = true;
                }
            }
            Order order = new Order(id, (String) call.get("holder"), (Long) call.get("fence"),
                    System.nanoTime() / 1_000_000);
            synchronized (orders) {
                orders.add(order);
            }
            log("engine %s: order of %s, fence %d: %s %s -> %d", id, order.holder(), order.fence(), model,
                    call.get("version"), status);
            Http.respond(channel.getOutputStream(), status, "", new byte[0]);
            if (status == 202) {
                Case.thread(() -> {
                    sleep(LOAD_MILLIS);
                    synchronized (this) {
                        versions.put(model, (Long) call.get("version"));
                        busy = false;
                    }
                    registerVersions();
                });
            }
            return true;
        }

        private synchronized boolean report(Socket channel) throws IOException {
            byte[] text = Json.write(Json.of("phase", "both", "models", models(), "busy", busy, "sequence", accepted,
                    "numWaiting", 0L, "numRunning", 0L, "kvUsed", 0L, "kvTotal", 45_397L, "handles", 0L))
                    .getBytes(StandardCharsets.UTF_8);
            Http.respond(channel.getOutputStream(), 200, "Content-Type: application/json\r\n", text);
            return true;
        }

        private List<Object> models() {
            return versions.entrySet().stream().map(model -> (Object) Json.of("name", model.getKey(), "version",
                    model.getValue(), "loraAdapters", List.of())).toList();
        }

        synchronized void registerVersions() {
            store.write("servers/" + id, Json.of("service", service, "address", address(), "zone", zone, "version",
                    "v1", "capacity", 12L, "state", "ready", "coldRemainingMs", 0L, "phase", "both", "models", models(),
                    "sequence", 1L));
        }
    }

    private String leader() {
        return store.text("bergamotwall/live/duties/weights");
    }

    @Override
    String run() throws Exception {
        store.open();
        Engine[] engines = {new Engine("i-1", "gent-dock"), new Engine("i-2", "antwerp-dock")};
        for (Engine engine : engines) {
            engine.open();
            engine.registerVersions();
        }
        configure(4, List.of(route("/plan/", "rollout", "ordering-assistant", "runTargetMs", 7_500L, "retentionS",
                60L)), List.of(Json.of("name", "ordering-assistant", "healthPath", "/healthz", "maxConnections", 150L,
                "engine", Json.of("capacity", 12L, "kvCapacityTokens", 45_397L, "models", Arrays.stream(MODELS)
                        .map(model -> (Object) Json.of("name", model)).toList()))));
        start(3, 1);
        // A new leader waits for some seconds before its first order.
        sleep(6_000);
        String leader = leader();
        log("the leader is %s", leader);
        disturbed = trouble ? leader : null;
        for (String model : MODELS) {
            log("a trainer names version 2 of %s", model);
            store.write("op/version/" + model, Json.of("model", model, "version", 2L));
            sleep(50);
        }
        sleep(CUT_MILLIS);
        disturbed = null;
        sleep(6_000);
        return turns();
    }

    /** The rule: holders that take turns within leaseTtlMs, in the orders that arrive at one engine. */
    private String turns() {
        List<String> broken = new ArrayList<>();
        synchronized (orders) {
            for (String engine : List.of("i-1", "i-2")) {
                Order before = null;
                for (Order order : orders) {
                    if (!order.engine().equals(engine)) continue;
                    if (before != null && !before.holder().equals(order.holder())) {
                        long gap = order.atMillis() - before.atMillis();
                        log("engine %s: %s follows %s after %d ms", engine, order.holder(), before.holder(), gap);
                        if (gap < LEASE_TTL_MILLIS) broken.add(engine + " after " + gap + " ms");
                        if (order.fence() <= before.fence()) broken.add(engine + " with fence " + order.fence());
                    }
                    before = order;
                }
            }
        }
        return broken.isEmpty() ? null : "ONE: holders take turns at " + broken;
    }
}
