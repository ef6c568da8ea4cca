import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One case: a small deployment of the system's own processes on loopback, with stand-ins for the platform, the replicas
 * and the clients. The arguments are the class of the case and its folder.
 */
abstract class Case {
    static final String HOST = "review.example";
    private static final String[] ZONES = {"gent-dock", "antwerp-dock", "leuven-dock"};
    private static final long START = System.nanoTime();
    private static PrintStream record;

    /** A process of the system. */
    static final class Node {
        final String name;
        String front;
        String ready;
        Process process;
        Path log;
        /** Whether the case has killed it, and will start it again. */
        volatile boolean killed;

        Node(String name) {
            this.name = name;
        }
    }

    final Store store = new Store();
    final List<Node> entries = new ArrayList<>();
    final List<Node> runners = new ArrayList<>();
    /** Whether the disruption is made. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, Integer> ends = new ConcurrentHashMap<>();
    private volatile boolean restartsStopped;
    private final Path folder = Files.createTempDirectory("review");
    private final Random random = new Random();

    Case() throws IOException {
    }

    /** Runs the case. Returns what broke the rule, or null if it held. */
    abstract String run() throws Exception;

    /** Runs the case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    public static void main(String[] arguments) throws Exception {
        record = new PrintStream(new File(arguments[1], "record.txt"), StandardCharsets.UTF_8);
        int result = 2;
        Case played = null;
        try {
            played = (Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
            Case started = played;
            Runtime.getRuntime().addShutdownHook(new Thread(started::end));
            log("disruption: %s", started.trouble ? "yes" : "no");
            String broken = started.run();
            log("%s", broken == null ? "HELD" : "BROKEN: " + broken);
            result = broken == null ? 0 : 1;
        } catch (Throwable e) {
            log("the case could not run: %s", e);
            e.printStackTrace(record);
        }
        if (played != null) played.end();
        System.exit(result);
    }

    static synchronized void log(String format, Object... values) {
        String line = String.format("%8.3f ", (System.nanoTime() - START) / 1e9) + String.format(format, values);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    /** Time since the start of the case. */
    static long elapsedMillis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A route of the operator's configuration. */
    static Map<String, Object> route(String prefix, String type, String service, Object... more) {
        Map<String, Object> route = Json.of("name", "r" + prefix.replace("/", ""), "hostname", HOST, "pathPrefix",
                prefix, "routeType", type, "service", service, "priority", 1L, "maxAttempts", 3L, "timeoutMs", 10_000L,
                "targetLatencyMs", 500L);
        route.putAll(Json.of(more));
        return route;
    }

    final void configure(long version, List<Object> routes, List<Object> services) {
        store.write("op/config", Json.of("version", version, "routes", routes, "services", services, "limits",
                Json.of("maxHeaderBytes", 16_384L, "maxBodyBytes", 33_554_432L, "headerTimeoutMs", 3_000L,
                        "idleTimeoutMs", 15_000L)));
    }

    /** Starts the entries and runners, spread over the zones, and waits until the entries are ready. */
    final void start(int entryCount, int runnerCount) throws Exception {
        for (int i = 0; i < entryCount; i++) entries.add(startNode("entry", i));
        for (int i = 0; i < runnerCount; i++) runners.add(startNode("runner", i));
        long until = System.currentTimeMillis() + 40_000;
        for (Node entry : entries) {
            while (!ready(entry)) {
                if (System.currentTimeMillis() > until) throw new IOException(entry.name + " is not ready");
                sleep(100);
            }
        }
        while (store.keys("bergamotwall/live/members/").size() < entryCount + runnerCount) {
            if (System.currentTimeMillis() > until) throw new IOException("not all processes are registered");
            sleep(100);
        }
        sleep(3_000);
        log("%d entries and %d runners are ready", entryCount, runnerCount);
    }

    static boolean ready(Node entry) {
        try {
            return Http.call(entry.ready, "GET", "/api/readyz", "Host: x\r\n", null, 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills the process of [node] with SIGKILL; the case starts it again itself. */
    static void kill(Node node) {
        log("SIGKILL to %s", node.name);
        node.killed = true;
        node.process.destroyForcibly();
    }

    /** Starts the process of [node] again, with the settings that it had. */
    final void restart(Node node) throws Exception {
        node.process = launch(node.front == null ? "runner" : "entry", node);
        log("%s is started again", node.name);
    }

    /** From now on, starts each process again that ends by itself, as the platform does, and counts the ends. */
    final void restartEnded() {
        List<Node> all = new ArrayList<>(entries);
        all.addAll(runners);
        thread(() -> {
            while (!restartsStopped) {
                for (Node node : all) {
                    if (node.process.isAlive() || node.killed || restartsStopped) continue;
                    ends.merge(node.name, 1, Integer::sum);
                    log("%s has ended by itself, exit code %d", node.name, node.process.exitValue());
                    try {
                        logLines(node, "OutOfMemory").stream().limit(1).forEach(line -> log("  it wrote: %s", line));
                        sleep(500);
                        if (!restartsStopped) restart(node);
                    } catch (Exception e) {
                        log("not started again: %s", e);
                    }
                }
                sleep(100);
            }
        });
    }

    final void stopRestarts() {
        restartsStopped = true;
        log("processes that ended by themselves, with how often: %s", ends);
    }

    /** Whether on two machines at least processes ended by themselves three times. */
    final boolean endedTooOften() {
        return ends.values().stream().filter(count -> count >= 3).count() >= 2;
    }

    /** What broke the rule, null if it held. */
    final String brokenByEnds() {
        return endedTooOften() ? "on two machines or more processes ended by themselves three times" : null;
    }

    private Node startNode(String role, int index) throws Exception {
        Node node = new Node((role.equals("entry") ? "edge-" : "storage-") + ZONES[index % ZONES.length] + "-"
                + (index / ZONES.length + 1));
        int peer = freePort(3);
        Map<String, Object> listen = Json.of();
        if (role.equals("entry")) {
            node.front = "127.0.0.1:" + freePort(1);
            node.ready = "127.0.0.1:" + freePort(1);
            listen = Json.of("frontAddr", node.front, "ready", node.ready, "controlAddr", "127.0.0.1:" + freePort(1),
                    "directoryAddr", "127.0.0.1:" + freePort(1));
        }
        Map<String, Object> fields = Json.of("node", node.name, "zone", ZONES[index % ZONES.length], "bindIp",
                "127.0.0.1", "internalPorts", List.of((long) peer, (long) peer + 2), "listen", listen, "limits",
                Json.of("cpuShare", 0.75, "cpuCores", role.equals("entry") ? 1L : 2L, "maxFds", 4_100L), "provider",
                Json.of("address", store.address()), "bounds", Json.of("configMs", 2_000L, "drainTimeoutMs", 2_000L,
                        "cancelMs", 3_000L, "leaseTtlMs", 3_000L));
        Files.writeString(folder.resolve(node.name + ".json"),
                Template.render(Files.readString(Path.of("deploy/settings.json")), fields));
        node.log = folder.resolve(node.name + ".log");
        node.process = launch(role, node);
        return node;
    }

    private Process launch(String role, Node node) throws Exception {
        String section = Files.readString(Path.of("deploy/system.toml")).split("\\[roles\\." + role + "]")[1];
        String command = section.split("run = \"")[1].split("\"")[0];
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BERGAMOTWALL_CONFIG", folder.resolve(node.name + ".json").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    /** The first of [count] free ports in a row, below those that the operating system gives to outgoing channels. */
    private int freePort(int count) {
        while (true) {
            int port = 10_000 + random.nextInt(20_000);
            boolean free = true;
            for (int i = 0; i < count && free; i++) free = isFree(port + i);
            if (free) return port;
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** An item of a batch submission with a body of [bodyBytes]. */
    static Map<String, Object> item(String id, String path, String group, String model, int bodyBytes) {
        byte[] body = new byte[bodyBytes];
        new Random(id.hashCode()).nextBytes(body);
        return Json.of("replicaId", id, "path", path, "headers", Json.of("Bergamotwall-Model", model,
                "Bergamotwall-Token-Usage", "271,24", "Bergamotwall-Prompt-Prefix", "9c2e41:255,5d07b8:16"), "body",
                Base64.getEncoder().encodeToString(body), "tokens", 295L, "group", group);
    }

    static byte[] submission(String model, long step, int desired, List<Object> items) {
        return Json.write(Json.of("trainStep", step, "model", model, "minVersion", 0L, "desired", (long) desired,
                "items", items)).getBytes(StandardCharsets.UTF_8);
    }

    /** Fields of a request to the system. */
    static String fields(String requestId) {
        return "Host: " + HOST + "\r\n" + (requestId == null ? "" : "Bergamotwall-Request-Id: " + requestId + "\r\n")
                + "Content-Type: application/json\r\n";
    }

    /** The lines of the log of [node] that contain [text], the last ten at most. */
    static List<String> logLines(Node node, String text) throws IOException {
        List<String> lines = Files.readAllLines(node.log, StandardCharsets.ISO_8859_1).stream()
                .filter(line -> line.contains(text)).toList();
        return lines.subList(Math.max(0, lines.size() - 10), lines.size());
    }

    private void end() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
