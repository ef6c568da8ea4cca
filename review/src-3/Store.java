import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store, as PROTOCOL.md has it: linearizable, one revision counter, leases, watches. A hook may
 * delay the execution of a call, or lose its response.
 */
final class Store {
    /** What happens to a call instead of the usual. */
    interface Hook {
        /** The delay of a call that is never executed. */
        long NEVER = Long.MAX_VALUE;

        /** Returns null for a call that is handled as usual; otherwise the delay of its execution, without a response. */
        Long executeAfterMillis(Http.Request request, String body);
    }

    private record Item(String key, String value, long revision, long created, long lease) {
    }

    private record Event(String key, long revision, Item item) {
    }

    private static final class Lease {
        final long ttlMillis;
        long endsAtMillis;

        Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            this.endsAtMillis = now() + ttlMillis;
        }
    }

    private static final List<String> JSON = List.of("Content-Type: application/json");
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 70_000;
    private final ServerSocket server;
    volatile Hook hook = (request, body) -> null;

    /** Whether leases pause, as they may while the store is down. */
    volatile boolean leasesPaused;

    Store() throws IOException {
        server = Http.serve("127.0.0.1", this::handle);
        Http.daemon(() -> {
            while (true) {
                expire();
                sleep(50);
            }
        }).start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes as the operator or a replica does. */
    synchronized void put(String key, Object value) {
        write(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        remove(key);
    }

    /** The value of {@code key} as text, or null. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, revision, item));
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        events.add(new Event(key, revision, null));
        notifyAll();
    }

    private synchronized void expire() {
        long now = now();
        if (leasesPaused) leases.values().forEach(lease -> lease.endsAtMillis = now + lease.ttlMillis);
        List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue().endsAtMillis <= now)
                .map(Map.Entry::getKey).toList();
        ended.forEach(this::end);
    }

    private void end(long lease) {
        leases.remove(lease);
        items.values().stream().filter(item -> item.lease == lease).map(Item::key).toList().forEach(this::remove);
    }

    private boolean handle(Http.Request request, Socket socket) throws Exception {
        String body = request.text();
        Long delayMillis = hook.executeAfterMillis(request, body);
        if (delayMillis != null) {
            if (delayMillis != Hook.NEVER) {
                Http.daemon(() -> {
                    sleep(delayMillis);
                    execute(request, body);
                }).start();
            }
            // The channel on which a response is lost returns nothing further.
            while (socket.getInputStream().read() >= 0) continue;
            return false;
        }
        String[] response = execute(request, body);
        Http.respond(socket, Integer.parseInt(response[0]), JSON, response[1].getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private String[] execute(Http.Request request, String body) {
        String path = request.path();
        if (path.equals("/api/kv-watch")) return watch(request);
        synchronized (this) {
            if (path.equals("/api/kv-key")) {
                Item item = items.get(request.query("key"));
                return item == null ? answer(404, Json.of()) : answer(200, json(item));
            }
            if (path.equals("/api/kv-range")) return range(request);
            if (path.equals("/api/kv-txn")) return transaction(Json.object(body));
            if (path.equals("/api/kv-lease")) {
                long ttl = Math.max(1_000, (Long) Json.object(body).get("ttlMs"));
                leases.put(++lastLease, new Lease(ttl));
                return answer(200, Json.of("lease", lastLease, "ttlMs", ttl));
            }
            if (path.startsWith("/api/kv-keep/")) {
                Lease lease = leases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
                if (lease == null) return answer(404, Json.of());
                lease.endsAtMillis = now() + lease.ttlMillis;
                return answer(200, Json.of("ttlMs", lease.ttlMillis));
            }
            if (path.startsWith("/api/kv-lease-end/")) {
                end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
                return answer(200, Json.of());
            }
            return answer(404, Json.of());
        }
    }

    private String[] range(Http.Request request) {
        String prefix = request.query("pathPrefix");
        String after = request.query("after");
        List<Object> page = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Item item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (!item.key.startsWith(prefix)) {
                if (item.key.compareTo(prefix) > 0) break;
                continue;
            }
            if (page.size() == 500 || bytes > 1_000_000) {
                more = true;
                break;
            }
            page.add(json(item));
            bytes += item.value.length();
        }
        return answer(200, Json.of("items", page, "hasMore", more, "at", revision));
    }

    private String[] watch(Http.Request request) {
        String prefix = request.query("pathPrefix");
        long after = Long.parseLong(request.query("after"));
        long until = now() + Long.parseLong(request.query("waitMs"));
        synchronized (this) {
            while (true) {
                List<Object> found = new ArrayList<>();
                for (Event event : events) {
                    if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                    found.add(event.item != null ? json(event.item)
                            : Json.of("key", event.key, "revision", event.revision, "deleted", true));
                }
                long rest = until - now();
                if (!found.isEmpty() || rest <= 0) return answer(200, Json.of("events", found, "at", revision));
                try {
                    wait(rest);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    @SuppressWarnings("unchecked")
    private String[] transaction(Map<String, Object> body) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("puts", List.of());
        List<String> removed = (List<String>) body.getOrDefault("remove", List.of());
        boolean holds = true;
        List<Object> states = new ArrayList<>();
        for (Map<String, Object> condition : expected) {
            Item item = items.get((String) condition.get("key"));
            holds &= (item == null ? 0 : item.revision) == (Long) condition.get("revision");
            if (item != null) states.add(json(item));
        }
        if (!holds) return answer(412, Json.of("items", states));
        for (Map<String, Object> put : puts) {
            long lease = (Long) put.getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return answer(404, Json.of());
        }
        // One revision for the whole transaction.
        long next = revision + 1;
        for (Map<String, Object> put : puts) {
            revision = next - 1;
            write((String) put.get("key"), (String) put.get("value"), (Long) put.getOrDefault("lease", 0L));
        }
        for (String key : removed) {
            if (!items.containsKey(key)) continue;
            revision = next - 1;
            remove(key);
        }
        revision = next;
        return answer(200, Json.of("revision", next));
    }

    private Map<String, Object> json(Item item) {
        return Json.of("key", item.key, "value", item.value, "revision", item.revision, "created", item.created,
                "lease", item.lease, "at", revision);
    }

    private static String[] answer(int status, Map<String, Object> body) {
        return new String[] {Integer.toString(status), Json.write(body)};
    }
}
