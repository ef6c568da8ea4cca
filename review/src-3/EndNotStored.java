import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is silent for some seconds while a trainer ends a submission; the trainer gets 503 and does not retry. Later
 * the machine that runs the submission is stopped and started, as planned. With {@code RETRY=1} the trainer sends the end
 * once more at another node.
 */
final class EndNotStored {
    private static final long SILENT_MILLIS = 4_500;
    private static final int ANSWER_MILLIS = 4_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long ACK_TIMEOUT_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final int ITEMS = 60;
    private static final int DESIRED = 20;

    public static void main(String[] args) {
        World.run(args, EndNotStored::run);
    }

    private static void run(World world) throws Exception {
        Map<String, Long> begunAt = new ConcurrentHashMap<>();
        // Each item takes a second.
        Replica replica = new Replica("i-1", "llm", world.store, world.record, (self, request, socket) -> {
            begunAt.put(request.headers.get("bergamotwall-request-id"), Store.now());
            return Batches.generate(self, request, socket, 4, 250);
        });
        replica.capacity = 6;
        replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
        replica.register();
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm")), List.of(World.service("llm", true)));
        world.start(3);
        Fleet.Node owner = Batches.warmUp(world);
        Fleet.Node other = world.fleet.nodes.stream().filter(node -> node.edge && node != owner).findFirst().get();
        String[] items = new String[ITEMS];
        for (int i = 0; i < ITEMS; i++) items[i] = "item" + i;

        Http.Response response = Batches.submit(world, other, "step0", Batches.body(0, items), 12_000);
        if (response.status != 202) world.end(2, "the submission was not accepted");
        if (Batches.ownerOf(world, "step0") != owner) world.end(2, "another process owns the submission");
        if (Batches.awaitResults(world, other, "step0", DESIRED, 12_000) < DESIRED) world.end(2, "no results");

        // The trainer has what it wanted, and ends the step.
        long silentAt = Store.now();
        if (world.trouble) silence(world, silentAt);
        Http.Response ended = Http.call(owner.front(), "DELETE", "/api/lots/step0", List.of("Host: " + World.HOST), null,
                ANSWER_MILLIS);
        world.record.line("end of step0 at " + owner.id + ": " + ended + " " + ended.text());
        if (ended.status != 200 && "1".equals(System.getenv("RETRY"))) {
            ended = Http.call(other.front(), "DELETE", "/api/lots/step0", List.of("Host: " + World.HOST), null,
                    ANSWER_MILLIS);
            world.record.line("end of step0 at " + other.id + ": " + ended + " " + ended.text());
        }
        long endedAt = Store.now();
        // Steady state begins contactMs after the store has answered again.
        long steadyAt = world.trouble ? silentAt + SILENT_MILLIS + CONTACT_MILLIS : endedAt;
        long acknowledgedAt = ended.status == 200 ? endedAt : Math.max(endedAt, steadyAt) + ACK_TIMEOUT_MILLIS;
        long lastAt = acknowledgedAt + CANCEL_MILLIS;
        world.record.line("no item may reach a replica and run from now + " + (lastAt - Store.now()) + " ms on");
        Store.sleep(lastAt + 1_000 - Store.now());
        long stoppedAt = Store.now();
        world.record.line(begun(begunAt, 0) + " items have begun, " + begun(begunAt, lastAt) + " of them since then");
        world.fleet.signal(owner, "TERM");
        owner.process.waitFor();
        world.record.line(owner.id + " has ended");
        Store.sleep(1_000);
        world.fleet.start(owner);
        Store.sleep(12_000);
        long afterwards = begun(begunAt, lastAt);
        world.end(afterwards == 0 ? 0 : 1, afterwards + " items of the ended submission have begun to run later than "
                + CANCEL_MILLIS + " ms after its end counts as acknowledged, " + begun(begunAt, stoppedAt) + " of them after "
                + owner.id + " was stopped");
    }

    private static long begun(Map<String, Long> begunAt, long sinceMillis) {
        return begunAt.entrySet().stream().filter(e -> e.getKey().startsWith("item") && e.getValue() > sinceMillis).count();
    }

    private static void silence(World world, long silentAt) {
        world.record.line("the store is silent for " + SILENT_MILLIS + " ms");
        world.store.leasesPaused = true;
        world.store.hook = (request, text) -> {
            if (Store.now() - silentAt < SILENT_MILLIS) return Store.Hook.NEVER;
            world.store.leasesPaused = false;
            return null;
        };
    }
}
