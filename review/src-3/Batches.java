import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** Calls of a trainer about its batch submissions. */
final class Batches {
    private Batches() {
    }

    /** An item; its group has the same name. */
    static Map<String, Object> item(String id) {
        return item("/b/", id);
    }

    static Map<String, Object> item(String prefix, String id) {
        return Json.of("replicaId", id, "path", prefix + id,
                "headers", Json.of("Bergamotwall-Model", World.MODEL, "Bergamotwall-Token-Usage", "16,64"),
                "body", Base64.getEncoder().encodeToString(("prompt of " + id).getBytes()), "tokens", 80,
                "group", "group-" + id);
    }

    /** The batch submission of training step {@code step} with items called {@code ids}. */
    static byte[] body(int step, String... ids) {
        List<Object> items = new ArrayList<>();
        for (String id : ids) items.add(item(id));
        return Json.write(Json.of("trainStep", step, "model", World.MODEL, "minVersion", 1, "desired", ids.length,
                "items", items)).getBytes();
    }

    static Http.Response submit(World world, Fleet.Node node, String id, byte[] body, int timeoutMillis) {
        world.record.line("submission " + id + " sent to " + node.id);
        Http.Response response = Http.call(node.front(), "POST", "/b/" + id,
                World.headers(id, "Content-Type: application/json"), body, timeoutMillis);
        world.record.line("submission " + id + " at " + node.id + ": " + response);
        return response;
    }

    /** The results from position {@code after} on; null without a response 200. */
    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> read(World world, Fleet.Node node, String id, int after) {
        Http.Response response = Http.call(node.front(), "GET", "/api/lots/" + id + "?after=" + after,
                List.of("Host: " + World.HOST, "Bergamotwall-Wait-Ms: 500"), null, 2_500);
        if (response.status != 200) {
            world.record.line("read of " + id + " from " + after + " at " + node.id + ": " + response);
            return null;
        }
        return (List<Map<String, Object>>) Json.object(response.text()).get("results");
    }

    /** Answers an item with {@code events} events, one each {@code gapMillis}, as a sound replica does. */
    static boolean generate(Replica replica, Http.Request request, java.net.Socket socket, int events, long gapMillis)
            throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        replica.headers(request).forEach(header -> head.append(header).append("\r\n"));
        java.io.OutputStream out = socket.getOutputStream();
        out.write(head.append("Transfer-Encoding: chunked\r\n\r\n").toString().getBytes());
        String last = request.headers.get("last-event-id");
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
            Store.sleep(gapMillis);
            String event = "id: " + i + "\ndata: " + event(request, i) + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    static String event(Http.Request request, int number) {
        return "event " + number + " of " + request.headers.get("bergamotwall-request-id");
    }

    /**
     * Has submissions of other trainers run, as what a new process does for the first time takes longer. Returns the
     * process that stores the submissions of the route.
     */
    static Fleet.Node warmUp(World world) {
        for (int i = 0; i < 6; i++) {
            submit(world, world.fleet.nodes.get(i % 3), "warm" + i, body(0, "warm" + i), 12_000);
            awaitResults(world, world.fleet.nodes.get(i % 3), "warm" + i, 1, 10_000);
            end(world, world.fleet.nodes.get(i % 3), "warm" + i);
        }
        return ownerOf(world, "warm5");
    }

    static void end(World world, Fleet.Node node, String id) {
        Http.Response response = Http.call(node.front(), "DELETE", "/api/lots/" + id, List.of("Host: " + World.HOST),
                null, 4_000);
        world.record.line("end of " + id + " at " + node.id + ": " + response);
        if (response.status != 200) world.end(2, "a submission could not be ended");
    }

    static int awaitResults(World world, Fleet.Node node, String id, int wanted, long timeoutMillis) {
        long until = Store.now() + timeoutMillis;
        int count = 0;
        while (count < wanted && Store.now() < until) {
            List<Map<String, Object>> results = read(world, node, id, 0);
            count = results == null ? 0 : results.size();
            if (count < wanted) Store.sleep(500);
        }
        world.record.line(count + " results of " + id + " at " + node.id);
        return count;
    }

    static Fleet.Node ownerOf(World world, String id) {
        for (String key : world.store.keys("")) {
            String value = world.store.get(key);
            if (!key.endsWith("/" + id) || !value.contains("\"owner\"")) continue;
            String owner = (String) Json.object(value).get("owner");
            return world.fleet.nodes.stream().filter(node -> node.id.equals(owner)).findFirst().get();
        }
        throw new IllegalStateException("no record of " + id);
    }

    /** The process that the ownership record in the transaction {@code text} names. */
    static String ownerIn(String text) {
        for (Object put : (List<?>) Json.object(text).get("puts")) {
            String value = new String(Base64.getDecoder().decode((String) ((Map<?, ?>) put).get("value")));
            if (value.contains("\"owner\"")) return (String) Json.object(value).get("owner");
        }
        return "";
    }
}
