import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: sound, about 4 ms an answer. */
class Store extends HttpPeer {
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_CHARS = 1_000_000;
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    /** Time to live and end of each lease. */
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 5_000;

    Store() {
        Case.thread(() -> {
            while (true) {
                Case.sleep(20);
                expire();
            }
        });
    }

    /** Writes a document as the operator or a replica does. */
    synchronized void write(String key, Object document) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(Json.write(document).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** The document under [key], null if there is none. */
    synchronized Map<String, Object> read(String key) {
        String text = text(key);
        return text == null ? null : Json.object(text);
    }

    /** The value under [key] as text, null if there is none. */
    synchronized String text(String key) {
        Map<String, Object> item = items.get(key);
        if (item == null) return null;
        return new String(Base64.getDecoder().decode((String) item.get("value")), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    @Override
    boolean handle(Http.Head head, Socket channel, BufferedInputStream in) throws Exception {
        String body = new String(Http.readBody(head, in, false), StandardCharsets.UTF_8);
        Case.sleep(ANSWER_MILLIS);
        Object[] answer = answer(head, body);
        byte[] text = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
        Http.respond(channel.getOutputStream(), (Integer) answer[0], "Content-Type: application/json\r\n", text);
        return true;
    }

    private synchronized Object[] answer(Http.Head head, String body) throws InterruptedException {
        String path = head.path();
        if (path.equals("/api/kv-key")) {
            Map<String, Object> item = items.get(head.query("key"));
            if (item == null) return new Object[] {404, Json.of("at", revision)};
            Map<String, Object> copy = new HashMap<>(item);
            copy.put("at", revision);
            return new Object[] {200, copy};
        }
        if (path.equals("/api/kv-range")) return range(head.query("pathPrefix"), head.query("after"));
        if (path.equals("/api/kv-watch")) {
            return watch(head.query("pathPrefix"), Long.parseLong(head.query("after")),
                    Long.parseLong(head.query("waitMs")));
        }
        if (path.equals("/api/kv-txn")) return transaction(Json.object(body));
        if (path.equals("/api/kv-lease")) {
            long ttlMillis = (Long) Json.object(body).get("ttlMs");
            leases.put(++lastLease, new long[] {ttlMillis, now() + ttlMillis});
            return new Object[] {200, Json.of("lease", lastLease, "ttlMs", ttlMillis)};
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/api/kv-keep/")) {
            long[] kept = leases.get(lease);
            if (kept == null) return new Object[] {404, Json.of()};
            kept[1] = now() + kept[0];
            return new Object[] {200, Json.of("lease", lease, "ttlMs", kept[0])};
        }
        end(lease);
        return new Object[] {200, Json.of()};
    }

    private Object[] range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        boolean more = false;
        int chars = 0;
        for (Map<String, Object> item : items.tailMap(prefix).values()) {
            String key = (String) item.get("key");
            if (!key.startsWith(prefix)) break;
            if (after != null && key.compareTo(after) <= 0) continue;
            more = page.size() == PAGE_ITEMS || chars > PAGE_CHARS;
            if (more) break;
            page.add(item);
            chars += ((String) item.get("value")).length();
        }
        return new Object[] {200, Json.of("items", page, "hasMore", more, "at", revision)};
    }

    private Object[] watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long until = now() + waitMillis;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> event : events) {
                if ((Long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) {
                    found.add(event);
                }
            }
            long left = until - now();
            if (!found.isEmpty() || left <= 0) return new Object[] {200, Json.of("events", found, "at", revision)};
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Object[] transaction(Map<String, Object> call) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.getOrDefault("expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) call.getOrDefault("puts", List.of());
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> row : expected) {
            Map<String, Object> item = items.get((String) row.get("key"));
            holds &= (item == null ? 0L : (Long) item.get("revision")) == (Long) row.get("revision");
            if (item != null) current.add(item);
        }
        if (!holds) return new Object[] {412, Json.of("items", current)};
        for (Map<String, Object> put : puts) {
            long lease = (Long) put.getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, Json.of()};
        }
        revision++;
        puts.forEach(put -> put((String) put.get("key"), (String) put.get("value"),
                (Long) put.getOrDefault("lease", 0L)));
        ((List<String>) call.getOrDefault("remove", List.of())).forEach(this::remove);
        notifyAll();
        return new Object[] {200, Json.of("revision", revision)};
    }

    private void put(String key, String value, long lease) {
        Map<String, Object> before = items.get(key);
        Map<String, Object> item = Json.of("key", key, "value", value, "revision", revision, "created",
                before == null ? revision : before.get("created"), "lease", lease);
        items.put(key, item);
        events.add(item);
        if (events.size() > 2_000) events.subList(0, 1_000).clear();
    }

    private void remove(String key) {
        if (items.remove(key) != null) events.add(Json.of("key", key, "revision", revision, "deleted", true));
    }

    private synchronized void expire() {
        long now = now();
        leases.entrySet().stream().filter(lease -> lease.getValue()[1] <= now).map(Map.Entry::getKey).toList()
                .forEach(this::end);
    }

    private void end(long lease) {
        if (leases.remove(lease) == null) return;
        List<String> keys = items.values().stream().filter(item -> (Long) item.get("lease") == lease)
                .map(item -> (String) item.get("key")).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
