import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment for a case: a store, replicas, and processes of the system. */
final class World {
    static final String HOST = "ficu95.example";
    static final String MODEL = "daka510000";
    final Record record;
    final Store store;
    final Fleet fleet;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;

    /** What a case does with its world; it ends with a call of {@link #end}. */
    interface Case {
        void run(World world) throws Exception;
    }

    /** Runs {@code body}; a failure of the case itself is no result. */
    static void run(String[] args, Case body) {
        World world = null;
        try {
            world = new World(args[0]);
            body.run(world);
            world.end(2, "the case has not ended with a result");
        } catch (Exception | Error e) {
            e.printStackTrace();
            if (world != null) world.record.line("NOT RUN: " + e);
            System.exit(2);
        }
    }

    World(String caseFolder) throws Exception {
        Path root = Path.of("").toAbsolutePath();
        record = new Record(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review");
        store = new Store();
        fleet = new Fleet(root, folder, store.address(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::deleteFolder));
        Http.daemon(() -> {
            Store.sleep(115_000);
            end(2, "the case did not end in time");
        }).start();
    }

    static Map<String, Object> route(String name, String prefix, String type, String service, int timeoutMillis,
            int maxAttempts) {
        return Json.of("name", name, "hostname", HOST, "pathPrefix", prefix, "routeType", type,
                "timeoutMs", timeoutMillis, "targetLatencyMs", 500, "priority", 1, "service", service,
                "maxAttempts", maxAttempts);
    }

    static Map<String, Object> rolloutRoute(String name, String prefix, String service) {
        Map<String, Object> route = route(name, prefix, "rollout", service, 10_000, 3);
        route.putAll(Json.of("retentionS", 40.0, "runTargetMs", 7_500, "singleVersion", false, "sticky", true,
                "resumable", true));
        return route;
    }

    static Map<String, Object> service(String name, boolean engine) {
        Map<String, Object> service = Json.of("name", name, "healthPath", "/healthz", "maxConnections", 150,
                "protocol", "h1", "tlsMode", false);
        if (engine) service.put("engine", Json.of("capacity", 12, "kvCapacityTokens", 45_397,
                "models", List.of(Json.of("name", MODEL))));
        return service;
    }

    void configure(long version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        store.put("op/config", Json.of("version", version, "routes", routes, "services", services, "limits",
                Json.of("maxHeaderBytes", 16_384, "maxBodyBytes", 33_554_432, "headerTimeoutMs", 3_000,
                        "idleTimeoutMs", 15_000)));
    }

    /** Starts processes for {@code edges} entries and one runner, and waits until the entries are ready. */
    void start(int edges) throws Exception {
        start(edges, 1);
    }

    /** Starts processes for {@code edges} entries and for runners, and waits until the entries are ready. */
    void start(int edges, int runners) throws Exception {
        List<Fleet.Node> started = new ArrayList<>();
        for (int i = 1; i <= edges; i++) started.add(fleet.add("edge-zone-a-" + i, true));
        for (int i = 1; i <= runners; i++) started.add(fleet.add("storage-zone-a-" + i, false));
        for (Fleet.Node node : started) fleet.start(node);
        for (Fleet.Node node : started) {
            if (node.edge && !fleet.awaitReady(node, 30_000)) end(2, node.id + " did not become ready");
        }
        // Longer than a registration takes to be known everywhere.
        Store.sleep(2_000);
    }

    static List<String> headers(String requestId, String... more) {
        List<String> headers = new ArrayList<>(List.of("Host: " + HOST, "Bergamotwall-Request-Id: " + requestId));
        headers.addAll(List.of(more));
        return headers;
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void end(int status, String finding) {
        record.line((status == 1 ? "BROKEN: " : status == 0 ? "HELD: " : "NOT RUN: ") + finding);
        if (System.getenv("KEEP_LOGS") != null) copyLogs();
        System.exit(status);
    }

    private void copyLogs() {
        for (Fleet.Node node : fleet.nodes) {
            try {
                Files.copy(node.log, Path.of(System.getenv("KEEP_LOGS"), node.id + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (java.io.IOException e) {
                System.out.println(e);
            }
        }
    }

    private void deleteFolder() {
        fleet.stop();
        try (var files = Files.list(folder)) {
            files.forEach(file -> file.toFile().delete());
        } catch (java.io.IOException e) {
            // The folder is gone already.
        }
        folder.toFile().delete();
    }
}
