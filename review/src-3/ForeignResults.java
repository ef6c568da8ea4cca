import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A client that nobody controls submits two items, on another route, under an id that begins with that of a trainer's
 * submission. Then the machine that runs the trainer's submission is stopped and started, as planned. The trainer reads
 * all the while.
 */
final class ForeignResults {
    private static final String ID = "7c41e09b52d6a3f8";
    private static final int ITEMS = 40;
    private static final long READ_MILLIS = 20_000;

    public static void main(String[] args) {
        World.run(args, ForeignResults::run);
    }

    private static void run(World world) throws Exception {
        // Each item takes a second.
        Replica replica = new Replica("i-1", "llm", world.store, world.record, (self, request, socket) ->
                Batches.generate(self, request, socket, 4, request.target.contains("warm") ? 20 : 250));
        replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
        replica.register();
        Replica otherReplica = new Replica("i-2", "llm2", world.store, world.record, (self, request, socket) ->
                Batches.generate(self, request, socket, 4, 20));
        otherReplica.models.addAll(replica.models);
        otherReplica.register();
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm"), World.rolloutRoute("r2", "/b2/", "llm2")),
                List.of(World.service("llm", true), World.service("llm2", true)));
        world.start(3);
        Batches.warmUp(world);
        Fleet.Node any = world.fleet.nodes.get(0);
        List<String> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) items.add("item" + i);
        Http.Response response = Batches.submit(world, any, ID, Batches.body(0, items.toArray(String[]::new)), 12_000);
        if (response.status != 202) world.end(2, "the submission was not accepted");
        Fleet.Node owner = Batches.ownerOf(world, ID);
        Fleet.Node other = world.fleet.nodes.stream().filter(node -> node.edge && node != owner).findFirst().get();
        if (world.trouble) {
            String id = ID + "/a";
            byte[] body = Json.write(Json.of("trainStep", 0, "model", World.MODEL, "minVersion", 1, "desired", 2, "items",
                    List.of(Batches.item("/b2/", "foreign1"), Batches.item("/b2/", "foreign2")))).getBytes();
            response = Http.call(other.front(), "POST", "/b2/a", World.headers(id, "Content-Type: application/json"),
                    body, 12_000);
            world.record.line("submission " + id + " of another client at " + other.id + ": " + response);
            if (response.status != 202) world.end(0, "the other client's submission was refused");
        }
        Batches.awaitResults(world, other, ID, 12, 10_000);

        Http.daemon(() -> restart(world, owner)).start();
        long until = Store.now() + READ_MILLIS;
        int read = 0;
        while (Store.now() < until) {
            List<Map<String, Object>> results = Batches.read(world, other, ID, 0);
            if (results != null && results.size() > read) {
                read = results.size();
                List<String> foreign = results.stream().map(result -> (String) result.get("replicaId"))
                        .filter(item -> !items.contains(item)).toList();
                world.record.line(read + " results of " + ID + " at " + other.id + ", of other submissions: " + foreign);
                if (!foreign.isEmpty()) {
                    world.end(1, "the results of " + ID + " name items of another submission: " + foreign);
                }
            }
            Store.sleep(500);
        }
        world.end(read < ITEMS ? 2 : 0, read + " results of " + ID + ", all of its own " + ITEMS + " items");
    }

    private static void restart(World world, Fleet.Node node) {
        try {
            world.fleet.signal(node, "TERM");
            node.process.waitFor();
            Store.sleep(1_000);
            world.fleet.start(node);
        } catch (Exception e) {
            world.end(2, e.toString());
        }
    }
}
