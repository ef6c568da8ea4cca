import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The machine that stores a batch submission loses power for good while the store has not yet carried out its write.
 * The trainer gets no response and sends the same submission again at another node, which accepts it.
 */
final class LostWhileStored {
    private static final long LATE_MILLIS = 5_500;
    private static final int NO_RESPONSE_MILLIS = 6_000;
    private static final long READ_MILLIS = 30_000;

    public static void main(String[] args) {
        World.run(args, LostWhileStored::run);
    }

    private static void run(World world) throws Exception {
        // The item "carried" takes about 20 s, all others a fraction of a second.
        Replica replica = new Replica("i-1", "llm", world.store, world.record, (self, request, socket) ->
                Batches.generate(self, request, socket, 4, request.target.endsWith("carried") ? 5_000 : 20));
        replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
        replica.register();
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm")), List.of(World.service("llm", true)));
        world.start(3);

        Fleet.Node first = Batches.warmUp(world);

        // Step 0: the trainer ends it while one of its two groups is not complete.
        Fleet.Node any = world.fleet.nodes.get(0);
        Batches.submit(world, any, "step0", Batches.body(0, "fast", "carried"), 12_000);
        Batches.awaitResults(world, any, "step0", 1, 10_000);
        Batches.end(world, any, "step0");
        if (!replica.runs.containsKey("carried")) world.end(2, "no item of the incomplete group has begun");

        // Step 1: the incomplete group comes again. Of the nodes that the trainer may choose, it chooses the one that
        // stores the submissions of this route.
        Fleet.Node second = world.fleet.nodes.stream().filter(node -> node.edge && node != first).findFirst().get();
        byte[] step1 = Batches.body(1, "carried", "new1", "new2", "new3");
        AtomicBoolean late = new AtomicBoolean();
        if (world.trouble) {
            world.store.hook = (request, text) -> {
                if (!request.path().equals("/api/kv-txn") || !text.contains("/step1\"")) return null;
                if (!late.compareAndSet(false, true)) return null;
                if (!Batches.ownerIn(text).equals(first.id)) world.end(2, "another process stores the submission");
                world.record.line("the store carries out the write of " + first.id + " in " + LATE_MILLIS
                        + " ms, without a response");
                losePower(world, first);
                return LATE_MILLIS;
            };
        }
        Http.Response response = Batches.submit(world, first, "step1", step1, NO_RESPONSE_MILLIS);
        if (world.trouble && !late.get()) world.end(2, "the write did not come");
        if (world.trouble) world.fleet.signal(first, "KILL");
        for (int i = 0; i < 5 && response.status != 202; i++) {
            response = Batches.submit(world, second, "step1", step1, NO_RESPONSE_MILLIS);
        }
        if (response.status != 202) world.end(0, "the submission was not accepted");

        long acceptedAt = Store.now();
        int count = Batches.awaitResults(world, second, "step1", 3, READ_MILLIS);
        long begun = List.of("new1", "new2", "new3").stream().filter(replica.runs::containsKey).count();
        world.end(count >= 3 ? 0 : 1, count + " of 4 results " + (Store.now() - acceptedAt) + " ms after the 202; "
                + begun + " of the 3 items that had not begun in step 0 have begun; the replica is idle");
    }

    /** From now on the machine neither sends nor answers, and nothing that it has in memory comes back. */
    private static void losePower(World world, Fleet.Node node) {
        Http.daemon(() -> {
            try {
                world.fleet.signal(node, "STOP");
            } catch (Exception e) {
                world.end(2, e.toString());
            }
        }).start();
    }
}
