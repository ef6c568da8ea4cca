import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Processes of the system, started with the command of the deploy file and settings as its template makes them. */
final class Fleet {
    /** One process. */
    static final class Node {
        final String id;
        final boolean edge;
        final String host;
        final Map<String, Integer> ports = new LinkedHashMap<>();
        final Path settings;
        final Path log;
        volatile Process process;

        Node(String id, boolean edge, String host, Path folder) throws IOException {
            this.id = id;
            this.edge = edge;
            this.host = host;
            settings = folder.resolve(id + ".json");
            log = folder.resolve(id + ".log");
        }

        String front() {
            return host + ":" + ports.get("front");
        }

        String ready() {
            return host + ":" + ports.get("ready");
        }
    }

    private final Path root;
    private final Path folder;
    private final String storeAddress;
    private final Record record;
    final List<Node> nodes = new ArrayList<>();
    /** Address of the store as a node is told it; a case may put a proxy in between. */
    final Map<String, String> storeAddressOf = new LinkedHashMap<>();

    Fleet(Path root, Path folder, String storeAddress, Record record) {
        this.root = root;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.record = record;
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    /** Each node has a loopback address of its own, as machines do. */
    Node add(String id, boolean edge) throws IOException {
        Node node = new Node(id, edge, "127.0.0." + (10 + nodes.size()), folder);
        int base = freeBlock(node.host);
        node.ports.put("peer", base);
        node.ports.put("relay", base + 1);
        node.ports.put("metrics", base + 2);
        node.ports.put("front", base + 3);
        node.ports.put("ready", base + 4);
        node.ports.put("directory", base + 5);
        nodes.add(node);
        return node;
    }

    private static int freeBlock(String host) throws IOException {
        // Cases that start at the same time look in different places, below the ports that clients get.
        int first = 12_000 + 16 * ThreadLocalRandom.current().nextInt(600);
        for (int base = first; base < 32_000; base += 16) {
            boolean free = true;
            for (int port = base; free && port < base + 6; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    free = probe.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) return base;
        }
        throw new IOException("no free ports");
    }

    /** Starts the program of {@code node}, as the platform does. */
    void start(Node node) throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("id", node.id);
        settings.put("dataCentre", "zone-a");
        settings.put("peerAddress", node.host + ":" + node.ports.get("peer"));
        settings.put("keyValueAddress", storeAddressOf.getOrDefault(node.id, storeAddress));
        if (node.edge) settings.put("frontAddress", node.front());
        settings.put("operationsAddresses", node.edge
                ? List.of(node.ready(), node.host + ":" + node.ports.get("directory")) : List.of());
        settings.put("metricsAddress", node.host + ":" + node.ports.get("metrics"));
        settings.put("leaseTtlSeconds", 3);
        settings.put("coreShare", 0.75);
        settings.put("coreSpeed", node.edge ? 1 : 2);
        settings.put("follow", Json.of("configurationStaleMillis", 2_000, "departureMillis", 2_000));
        settings.put("batches", Json.of("endMillis", 3_000));
        settings.put("intake", Json.of("maxFds", node.edge ? 4_100 : 8_200));
        settings.put("weights", Json.of("pauseMillis", 3_000));
        Files.writeString(node.settings, Json.write(settings));
        List<String> command = new ArrayList<>(Arrays.asList(command(node.edge ? "entry" : "runner").split(" +")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(node.log.toString())));
        builder.environment().put("BERGAMOTWALL_CONFIG", node.settings.toString());
        node.process = builder.start();
        record.line("started " + node.id + ", process " + node.process.pid());
    }

    /** The command of {@code role} in the deploy file. */
    private String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.trim().equals("[roles." + role + "]");
            if (inRole && line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no role " + role);
    }

    /** Waits until {@code node} is ready; returns whether it is within {@code timeoutMillis}. */
    boolean awaitReady(Node node, long timeoutMillis) {
        long until = Store.now() + timeoutMillis;
        while (Store.now() < until) {
            Http.Response response = Http.call(node.ready(), "GET", "/api/readyz", List.of("Host: x"), null, 1_000);
            if (response.status == 200) return true;
            Store.sleep(100);
        }
        return false;
    }

    /** Sends a signal to the process of {@code node}. */
    void signal(Node node, String name) throws Exception {
        record.line("SIG" + name + " to " + node.id);
        new ProcessBuilder("kill", "-" + name, Long.toString(node.process.pid())).start().waitFor();
    }

    /** Ends all processes that it started. */
    void stop() {
        for (Node node : nodes) {
            Process process = node.process;
            if (process != null) process.destroyForcibly();
        }
    }
}
