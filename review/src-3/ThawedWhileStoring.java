import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A machine stands still for 5 s as the answer to its call that stores a submission is on its way. Another process takes
 * the submission over meanwhile. The machine that stood still then acts as its owner, too. There are as many machines
 * and rollout routes as on the site; submissions on the other routes run all the while.
 */
final class ThawedWhileStoring {
    private static final long FREEZE_MILLIS = 5_000;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long SETTLE_MILLIS = 1_000;
    private static final int ITEMS = 18;
    private static final int ITEM_BYTES = 834_000;
    private static final int EDGES = 6;
    private static final int RUNNERS = 3;
    private static final int OTHER_ITEMS = 120;
    private static final String OTHER_MODEL = "pufi20";

    public static void main(String[] args) {
        World.run(args, ThawedWhileStoring::run);
    }

    private static void run(World world) throws Exception {
        Random random = new Random();
        for (int i = 1; i <= 4; i++) {
            Replica replica = new Replica("i-" + i, "llm", world.store, world.record, (self, request, socket) ->
                    Batches.generate(self, request, socket, 4, 50 + random.nextInt(400)));
            replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
            replica.register();
        }
        Replica otherReplica = new Replica("i-5", "llm2", world.store, world.record, (self, request, socket) ->
                Batches.generate(self, request, socket, 4, 150 + random.nextInt(100)));
        otherReplica.models.add(Json.of("name", OTHER_MODEL, "version", 1, "loraAdapters", List.of()));
        otherReplica.register();
        Map<String, Object> otherService = World.service("llm2", true);
        otherService.put("engine", Json.of("capacity", 12, "kvCapacityTokens", 45_397,
                "models", List.of(Json.of("name", OTHER_MODEL))));
        // As many rollout routes as the site has.
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm"), World.rolloutRoute("r2", "/b2/", "llm2"),
                World.rolloutRoute("r3", "/b3/", "llm2")), List.of(World.service("llm", true), otherService));
        world.start(EDGES, RUNNERS);
        Fleet.Node frozen = Batches.warmUp(world);
        Fleet.Node other = world.fleet.nodes.stream().filter(node -> node.edge && node != frozen).findFirst().get();

        AtomicBoolean stored = new AtomicBoolean();
        if (world.trouble) {
            world.store.hook = (request, text) -> {
                boolean creation = request.path().equals("/api/kv-txn") && text.contains("bergamotwall/batches/step0\"");
                if (!creation || !Batches.ownerIn(text).equals(frozen.id)) return null;
                if (stored.compareAndSet(false, true)) freeze(world, frozen);
                return null;
            };
        }
        // Other trainers' submissions run meanwhile at the processes that own the other routes.
        submitOthers(world, frozen, other);
        byte[] body = body();
        world.record.line("the submission has " + body.length + " bytes");
        Http.daemon(() -> Batches.submit(world, frozen, "step0", body, DEADLINE_MILLIS)).start();
        long until = Store.now() + 15_000;
        while (world.trouble && !stored.get() && Store.now() < until) Store.sleep(20);
        if (world.trouble && !stored.get()) world.end(2, "the call did not come");

        // The trainer reads at another node all the while.
        long thawedAt = Store.now() + (world.trouble ? FREEZE_MILLIS : 0);
        int read = 0;
        while (Store.now() < thawedAt + CONTACT_MILLIS + 6_000) {
            List<Map<String, Object>> results = Batches.read(world, other, "step0", 0);
            if (results != null && results.size() > read) {
                read = results.size();
                world.record.line(read + " results of step0 at " + other.id);
            }
            Store.sleep(500);
        }

        // All machines are in touch again: what one of them has listed, each must list. They are asked for 8 s.
        List<Fleet.Node> nodes = world.fleet.nodes.stream().filter(node -> node.edge).toList();
        Map<String, Integer> counts = new TreeMap<>();
        int most = 0;
        long mostAt = 0;
        for (int i = 0; i < 8; i++) {
            for (Fleet.Node node : nodes) {
                List<Map<String, Object>> results = Batches.read(world, node, "step0", 0);
                if (results == null) continue;
                counts.put(node.id, results.size());
                if (results.size() <= most) continue;
                most = results.size();
                mostAt = Store.now();
            }
            world.record.line("results of step0 by node: " + counts);
            Store.sleep(1_000);
        }
        if (most == 0) world.end(2, "no result was listed");
        if (Store.now() < mostAt + SETTLE_MILLIS + 1_000) world.end(2, "results were still being listed");
        List<String> behind = new ArrayList<>();
        for (Fleet.Node node : nodes) {
            int position = most - 1;
            List<Map<String, Object>> results = Batches.read(world, node, "step0", position);
            if (results != null && results.isEmpty()) behind.add(node.id);
        }
        world.end(behind.isEmpty() ? 0 : 1, behind.size() + " machines in touch have nothing at position " + (most - 1)
                + " " + (Store.now() - mostAt) + " ms after it was read: " + behind);
    }

    private static void submitOthers(World world, Fleet.Node frozen, Fleet.Node other) {
        for (String prefix : List.of("/b2/", "/b3/")) {
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < OTHER_ITEMS; i++) {
                Map<String, Object> item = Batches.item(prefix, "other" + prefix.charAt(2) + "-" + i);
                item.put("headers", Json.of("Bergamotwall-Model", OTHER_MODEL, "Bergamotwall-Token-Usage", "16,64"));
                items.add(item);
            }
            byte[] body = Json.write(Json.of("trainStep", 0, "model", OTHER_MODEL, "minVersion", 1, "desired",
                    OTHER_ITEMS, "items", items)).getBytes();
            String id = "other" + prefix.charAt(2);
            Http.Response response = Http.call(other.front(), "POST", prefix + id,
                    World.headers(id, "Content-Type: application/json"), body, 12_000);
            world.record.line("submission " + id + " at " + other.id + ": " + response + ", owner "
                    + (response.status == 202 ? Batches.ownerOf(world, id).id : "none"));
        }
    }

    /** Stops the process of {@code node} at once, and continues it later. */
    private static void freeze(World world, Fleet.Node node) {
        world.record.line("the store gets the call that stores step0, and answers it");
        try {
            world.fleet.signal(node, "STOP");
        } catch (Exception e) {
            world.end(2, e.toString());
        }
        Http.daemon(() -> {
            Store.sleep(FREEZE_MILLIS);
            try {
                world.fleet.signal(node, "CONT");
            } catch (Exception e) {
                world.end(2, e.toString());
            }
        }).start();
    }

    private static byte[] body() {
        byte[] bytes = new byte[ITEM_BYTES];
        Arrays.fill(bytes, (byte) 'p');
        String encoded = Base64.getEncoder().encodeToString(bytes);
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            Map<String, Object> item = Batches.item("item" + i);
            item.put("body", encoded);
            items.add(item);
        }
        return Json.write(Json.of("trainStep", 0, "model", World.MODEL, "minVersion", 1, "desired", ITEMS,
                "items", items)).getBytes();
    }
}
