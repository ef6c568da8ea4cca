import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A small deployment on loopback: the store, replicas and the programs of the deploy file as separate processes, with
 * the template's settings. Ends all processes when the Java machine ends.
 */
class Fleet {
    /** A process of the system. */
    static final class Node {
        final String name;
        final String front;
        final String ready;
        private final Process process;

        Node(String name, String front, String ready, Process process) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.process = process;
        }

        boolean alive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }
    }

    static final String HOST = "review.example";
    static final String[] ZONES = {"dakar-a", "dakar-b", "thies-a", "rufisque-a"};

    private static final SecureRandom RANDOM = new SecureRandom();

    final StoreStandIn store = new StoreStandIn();
    final List<Node> entries = new ArrayList<>();
    final List<Node> runners = new ArrayList<>();
    final List<ReplicaStandIn> replicas = new ArrayList<>();
    /** All runs at replicas, in the order in which they began. */
    final List<ReplicaStandIn.Run> runs = new CopyOnWriteArrayList<>();
    private final Path folder = Files.createTempDirectory("review");
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    Fleet() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Starts [count] entries, one in each zone in turn, and a runner in the first zone; waits until all are ready. */
    final void start(int count) throws Exception {
        for (int i = 0; i < count; i++) entries.add(startNode("entry", "edge", i));
        runners.add(startNode("runner", "storage", 0));
        long endMillis = System.currentTimeMillis() + 40_000;
        for (Node entry : entries) {
            while (!isReady(entry)) {
                if (System.currentTimeMillis() > endMillis) {
                    throw new IllegalStateException(entry.name + " isn't ready");
                }
                Thread.sleep(100);
            }
        }
        // The page says that traffic starts 15 s after the machines do; a few seconds suffice for the directory.
        while (store.keys("bergamotwall/live/members/").size() < entries.size() + runners.size()) Thread.sleep(100);
        Thread.sleep(3_000);
        Record.startTraffic();
    }

    /** Sends [signal] to [node]. */
    final void signal(Node node, String signal) throws Exception {
        Record.log("SIG%s to %s", signal, node.name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(node.process.pid())).start().waitFor();
    }

    /** The route called [name] in the form of the operator's page. */
    static Map<String, Object> route(String name, String prefix, String type, String service, long timeoutMillis,
            long targetMillis, Object... more) {
        Map<String, Object> route = Json.of("name", name, "hostname", HOST, "pathPrefix", prefix, "routeType", type,
                "timeoutMs", timeoutMillis, "targetLatencyMs", targetMillis, "priority", 1L, "service", service,
                "maxAttempts", 3L);
        route.putAll(Json.of(more));
        return route;
    }

    /** Writes the configuration, and the entries of the replicas. */
    final void configure(List<Object> routes, List<Object> services) {
        store.put("op/config", Json.of("version", 7L, "routes", routes, "services", services, "limits",
                Json.of("maxHeaderBytes", 16_384L, "maxBodyBytes", 33_554_432L, "headerTimeoutMs", 3_000L,
                        "idleTimeoutMs", 15_000L)));
        replicas.forEach(ReplicaStandIn::register);
    }

    /** A service in the form of the operator's page, of models if [model] is not null. */
    static Map<String, Object> service(String name, String model) {
        Map<String, Object> service = Json.of("name", name, "healthPath", "/healthz", "maxConnections", 150L,
                "protocol", "h1", "tlsMode", false);
        if (model != null) {
            service.put("engine", Json.of("capacity", 12L, "kvCapacityTokens", 45_397L, "models",
                    List.of(Json.of("name", model))));
        }
        return service;
    }

    /** An item of a batch submission, as a trainer sends it. */
    static Map<String, Object> item(String id, String path, String group, String model) {
        String body = Base64.getEncoder().encodeToString(("prompt of " + id).getBytes(StandardCharsets.UTF_8));
        return Json.of("replicaId", id, "path", path, "headers",
                Json.of("Bergamotwall-Model", model, "Bergamotwall-Token-Usage", "271,400",
                        "Bergamotwall-Prompt-Prefix", "9c2e41:255,5d07b8:16"),
                "body", body, "tokens", 671L, "group", group);
    }

    /** Submits a batch at [entry]; returns the status. */
    final int submit(Node entry, String prefix, String id, String model, List<Object> items) throws IOException {
        Map<String, Object> body = Json.of("trainStep", 1L, "model", model, "minVersion", 0L, "desired",
                (long) items.size(), "items", items);
        return call(entry, "POST", prefix + id, id, Json.write(body).getBytes(StandardCharsets.UTF_8), 8_000).status();
    }

    /** Reads the results of batch [id] at [entry] from position [after] on. */
    final Http.Message read(Node entry, String id, int after) throws IOException {
        return call(entry, "GET", "/api/lots/" + id + "?after=" + after, null, new byte[0], 8_000);
    }

    /** Ends batch [id] at [entry]; returns the status. */
    final int endBatch(Node entry, String id) throws IOException {
        return call(entry, "DELETE", "/api/lots/" + id, null, new byte[0], 8_000).status();
    }

    /** Calls [entry] on a new channel. */
    final Http.Message call(Node entry, String method, String target, String requestId, byte[] body, int timeoutMillis)
            throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        if (requestId != null) headers.put("Bergamotwall-Request-Id", requestId);
        if (body.length > 0) headers.put("Content-Type", "application/json");
        Http.Message answer = Http.call(entry.front, method, target, headers, body, timeoutMillis);
        String text = answer.text();
        Record.log("%s %s at %s: %d %s", method, target, entry.name, answer.status(),
                text.length() > 300 ? text.substring(0, 300) + "..." : text);
        return answer;
    }

    /** The process that owns batch [id], by its record in the store. */
    final Node ownerOf(String id) {
        Map<String, Object> record = store.document("bergamotwall/batches/" + id);
        Object owner = record == null ? null : record.get("owner");
        List<Node> all = new ArrayList<>(entries);
        all.addAll(runners);
        return all.stream().filter(node -> node.name.equals(owner)).findFirst().orElse(null);
    }

    /** Notes that [request] reached [replica], which did not run it. */
    void arrived(ReplicaStandIn replica, Http.Message request, String outcome) {
    }

    /** Notes that [replica] begins to run [request]. */
    final void started(ReplicaStandIn replica, Http.Message request, ReplicaStandIn.Run run) {
        runs.add(run);
        Record.log("replica %s: begins to run %s", replica.id, run.request);
    }

    /** How long a replica of a plain service works on [request]. */
    long workMillis(Http.Message request) {
        return 30;
    }

    /** Body of the answer of a plain service. */
    String body(Http.Message request) {
        return "answer to " + request.headers.get("Bergamotwall-Request-Id");
    }

    /** Number of events of the stream that answers [request]. */
    int events(Http.Message request) {
        return 10;
    }

    /** Time from event to event. */
    long gapMillis(Http.Message request) {
        return 40;
    }

    /** Data of event [number] of the stream that answers the request [id]. */
    String eventData(String id, long number) {
        return "text of " + id + ", event " + number;
    }

    private boolean isReady(Node entry) {
        try {
            return Http.call(entry.ready, "GET", "/api/readyz", Map.of("Host", entry.ready), new byte[0], 1_000)
                    .status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private Node startNode(String role, String machineClass, int index) throws Exception {
        String zone = ZONES[index % ZONES.length];
        String name = machineClass + "-" + zone + "-" + (index / ZONES.length + 1);
        int[] ports = freePorts();
        boolean entry = role.equals("entry");
        Map<String, Object> listen = entry
                ? Json.of("frontAddr", "127.0.0.1:" + ports[2], "ready", "127.0.0.1:" + ports[3], "controlAddr",
                        "127.0.0.1:" + ports[4], "directoryAddr", "127.0.0.1:" + ports[5])
                : Json.of();
        Map<String, Object> fields = Json.of("node", name, "zone", zone, "bindIp", "127.0.0.1", "internalPorts",
                List.of((long) ports[0], (long) ports[6]), "listen", listen, "limits",
                Json.of("cpuShare", 0.75, "cpuCores", entry ? 1L : 2L), "provider",
                Json.of("address", store.address()), "bounds",
                Json.of("configMs", 2_000L, "drainTimeoutMs", 2_000L, "leaseTtlMs", 3_000L));
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Template.fill(Files.readString(Path.of("deploy/settings.json")), fields));
        ProcessBuilder builder = new ProcessBuilder(command(role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BERGAMOTWALL_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        return new Node(name, (String) listen.get("frontAddr"), (String) listen.get("ready"), process);
    }

    /** The command of [role] in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String section = Files.readString(Path.of("deploy/system.toml")).split("\\[roles\\." + role + "\\]")[1];
        String run = section.substring(section.indexOf("run = \"") + 7);
        return List.of(run.substring(0, run.indexOf('"')).split(" "));
    }

    /**
     * Seven free ports, of which the second follows the first: that is where a process relays requests. They lie below
     * those that the operating system gives to outgoing channels.
     */
    private static int[] freePorts() throws IOException {
        int[] ports = new int[7];
        int found = 0;
        while (found < ports.length) {
            int port = 10_000 + RANDOM.nextInt(20_000);
            boolean first = found == 0;
            if (!isFree(port) || first && !isFree(port + 1)) continue;
            ports[found++] = port;
            if (first) ports[found++] = port + 1;
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** The last lines that [node] wrote. */
    final String log(Node node) throws IOException {
        return Files.readString(folder.resolve(node.name + ".log"));
    }

    private void end() {
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (System.getenv("KEEP_LOGS") != null) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
