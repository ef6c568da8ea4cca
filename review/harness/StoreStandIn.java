import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's metadata store, as its page describes it: sound and fast. */
final class StoreStandIn extends HttpServer {
    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.of("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Event(String key, long revision, Map<String, Object> json) {
    }

    private static final class Lease {
        long ttlMillis;
        long endsAtMillis;
    }

    private static final int ANSWER_MILLIS = 4;
    private static final int PAGE_CHARS = 1_000_000;
    private static final int PAGE_ITEMS = 500;
    private static final int VALUE_BYTES = 1_048_576;
    private static final int MAX_ENTRIES = 32;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    /** Channels of waiting watches, with their prefixes. */
    private final Map<Socket, String> waiting = new ConcurrentHashMap<>();
    private long revision = 400;
    private long lastLease = 77_000;

    StoreStandIn() throws IOException {
        daemon(() -> {
            while (true) {
                pause(20);
                endLeases();
            }
        });
    }

    /** Writes [value] under [key] as the operator or a replica does. */
    synchronized void put(String key, Object value) {
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        revision++;
        write(key, Base64.getEncoder().encodeToString(bytes), 0);
        notifyAll();
    }

    /** Removes [key] as the platform does. */
    synchronized void remove(String key) {
        revision++;
        delete(key);
        notifyAll();
    }

    /** The document under [key], or null. */
    synchronized Map<String, Object> document(String key) {
        Item item = items.get(key);
        return item == null ? null : Json.object(text(item));
    }

    /** Cuts the watches on [prefix] that are waiting: their channels are closed without an answer. */
    void cutWatches(String prefix) throws IOException {
        for (Map.Entry<Socket, String> watch : waiting.entrySet()) {
            if (watch.getValue().equals(prefix)) watch.getKey().close();
        }
    }

    /** How long the lease of [key] still runs, in milliseconds; 0 if the key is absent or has none. */
    synchronized long leaseLeftMillis(String key) {
        Item item = items.get(key);
        Lease lease = item == null ? null : leases.get(item.lease);
        return lease == null ? 0 : lease.endsAtMillis - nowMillis();
    }

    /** The keys that begin with [prefix]. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    @Override
    boolean serve(Http.Message request, Socket socket, BufferedInputStream in) throws Exception {
        pause(ANSWER_MILLIS);
        String path = request.path();
        int status;
        Map<String, Object> body;
        if (path.equals("/api/kv-watch")) {
            String prefix = request.query("pathPrefix");
            waiting.put(socket, prefix);
            body = watch(prefix, Long.parseLong(request.query("after")), Long.parseLong(request.query("waitMs")));
            waiting.remove(socket);
            status = 200;
        } else {
            Object[] answer = answer(request, path);
            status = (Integer) answer[0];
            @SuppressWarnings("unchecked")
            Map<String, Object> map = (Map<String, Object>) answer[1];
            body = map;
        }
        Http.write(socket.getOutputStream(), "HTTP/1.1 " + status + " Answer",
                Map.of("Content-Type", "application/json"), Json.write(body).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private synchronized Object[] answer(Http.Message request, String path) {
        Map<String, Object> empty = new HashMap<>();
        if (path.equals("/api/kv-key")) {
            Item item = items.get(request.query("key"));
            if (item == null) return new Object[] {404, Json.of("at", revision)};
            Map<String, Object> json = item.json();
            json.put("at", revision);
            return new Object[] {200, json};
        }
        if (path.equals("/api/kv-range")) return new Object[] {200, range(request)};
        if (path.equals("/api/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMillis = ((Number) Json.object(request.text()).get("ttlMs")).longValue();
            lease.endsAtMillis = nowMillis() + lease.ttlMillis;
            leases.put(++lastLease, lease);
            return new Object[] {200, Json.of("lease", lastLease, "ttlMs", lease.ttlMillis)};
        }
        if (path.startsWith("/api/kv-keep/")) {
            Lease lease = leases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
            if (lease == null) return new Object[] {404, empty};
            lease.endsAtMillis = nowMillis() + lease.ttlMillis;
            return new Object[] {200, Json.of("ttlMs", lease.ttlMillis)};
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            return new Object[] {200, empty};
        }
        if (path.equals("/api/kv-txn")) return transaction(Json.object(request.text()));
        return new Object[] {404, empty};
    }

    private Map<String, Object> range(Http.Message request) {
        String prefix = request.query("pathPrefix");
        String after = request.query("after");
        List<Object> page = new ArrayList<>();
        int chars = 0;
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (after != null && item.key.compareTo(after) <= 0) continue;
            if (page.size() >= PAGE_ITEMS || chars > PAGE_CHARS) {
                more = true;
                break;
            }
            page.add(item.json());
            chars += item.value.length();
        }
        return Json.of("items", page, "hasMore", more, "at", revision);
    }

    private synchronized Map<String, Object> watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long endMillis = nowMillis() + waitMillis;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > after && event.key.startsWith(prefix)) found.add(event.json);
            }
            long left = endMillis - nowMillis();
            if (!found.isEmpty() || left <= 0) return Json.of("events", found, "at", revision);
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Object[] transaction(Map<String, Object> call) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.getOrDefault("expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) call.getOrDefault("puts", List.of());
        List<String> removed = (List<String>) call.getOrDefault("remove", List.of());
        if (expected.size() + puts.size() + removed.size() > MAX_ENTRIES) return new Object[] {400, new HashMap<>()};
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            long actual = item == null ? 0 : item.revision;
            holds &= actual == ((Number) row.get("revision")).longValue();
            if (item != null) current.add(item.json());
        }
        if (!holds) return new Object[] {412, Json.of("items", current)};
        for (Map<String, Object> put : puts) {
            long lease = put.get("lease") == null ? 0 : ((Number) put.get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, new HashMap<>()};
            if (Base64.getDecoder().decode((String) put.get("value")).length > VALUE_BYTES) {
                return new Object[] {400, new HashMap<>()};
            }
        }
        revision++;
        for (Map<String, Object> put : puts) {
            long lease = put.get("lease") == null ? 0 : ((Number) put.get("lease")).longValue();
            write((String) put.get("key"), (String) put.get("value"), lease);
        }
        removed.forEach(this::delete);
        notifyAll();
        return new Object[] {200, Json.of("revision", revision)};
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, revision, item.json()));
    }

    private void delete(String key) {
        if (items.remove(key) == null) return;
        events.add(new Event(key, revision, Json.of("key", key, "revision", revision, "deleted", true)));
    }

    private synchronized void endLeases() {
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAtMillis <= nowMillis()) ended.add(id);
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) return;
        List<String> keys = items.values().stream().filter(item -> item.lease == id).map(Item::key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::delete);
        notifyAll();
    }

    private static String text(Item item) {
        return new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
