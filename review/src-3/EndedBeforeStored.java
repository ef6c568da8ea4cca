import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store is silent for some seconds while a submission is to be stored, and carries one of the calls out afterwards.
 * Before that, the trainer, which does not retry, reaches its deadline and ends the submission at another node.
 */
final class EndedBeforeStored {
    private static final long SILENT_MILLIS = 4_500;
    private static final long LATE_MILLIS = 6_000;
    private static final long DEADLINE_MILLIS = 7_500;

    /** Time for the end of the submission before the call is carried out. */
    private static final long MARGIN_MILLIS = 300;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long ACK_TIMEOUT_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;

    public static void main(String[] args) {
        World.run(args, EndedBeforeStored::run);
    }

    private static void run(World world) throws Exception {
        Map<String, Long> begunAt = new ConcurrentHashMap<>();
        // Each item takes a second.
        Replica replica = new Replica("i-1", "llm", world.store, world.record, (self, request, socket) -> {
            begunAt.put(request.headers.get("bergamotwall-request-id"), Store.now());
            return Batches.generate(self, request, socket, 4, 250);
        });
        replica.capacity = 2;
        replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
        replica.register();
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm")), List.of(World.service("llm", true)));
        world.start(3);
        Fleet.Node first = Batches.warmUp(world);
        Fleet.Node second = world.fleet.nodes.stream().filter(node -> node.edge && node != first).findFirst().get();
        String[] items = new String[60];
        for (int i = 0; i < items.length; i++) items[i] = "item" + i;
        byte[] body = Batches.body(0, items);

        long startedAt = Store.now();
        AtomicLong carriedOutAt = new AtomicLong();
        if (world.trouble) silence(world, startedAt, carriedOutAt);
        Http.Response response = Batches.submit(world, first, "step0", body, 12_000);
        boolean accepted = response.status == 202;
        if (world.trouble && carriedOutAt.get() == 0) world.end(2, "the call did not come");
        if (world.trouble && accepted) world.end(0, "the submission was accepted");
        Store.sleep(Math.max(0, startedAt + DEADLINE_MILLIS - Store.now()));
        Http.Response ended = Http.call(second.front(), "DELETE", "/api/lots/step0", List.of("Host: " + World.HOST), null,
                4_000);
        long endedAt = Store.now();
        if (world.trouble && endedAt >= carriedOutAt.get()) world.end(2, "the trainer ended the submission late");
        world.record.line("end of step0 at " + second.id + ": " + ended + " " + ended.text());
        // Steady state begins contactMs after the store has carried out the call.
        long steadyAt = world.trouble ? carriedOutAt.get() + CONTACT_MILLIS : endedAt;
        long acknowledgedAt = ended.status == 200 ? endedAt : Math.max(endedAt, steadyAt) + ACK_TIMEOUT_MILLIS;
        long lastAt = acknowledgedAt + CANCEL_MILLIS;
        world.record.line("no item may reach a replica and run from now + " + (lastAt - Store.now()) + " ms on");
        Store.sleep(lastAt + 10_000 - Store.now());
        List<String> afterwards = new ArrayList<>();
        begunAt.forEach((id, at) -> {
            if (at > lastAt) afterwards.add(id);
        });
        world.end(afterwards.isEmpty() ? 0 : 1, afterwards.size() + " items of the ended submission have begun to run in"
                + " the 10 s from " + CANCEL_MILLIS + " ms after its end counts as acknowledged, " + begunAt.size()
                + " in all");
    }

    private static void silence(World world, long startedAt, AtomicLong carriedOutAt) {
        world.store.leasesPaused = true;
        world.store.hook = (request, text) -> {
            long now = Store.now();
            if (now - startedAt >= SILENT_MILLIS) {
                world.store.leasesPaused = false;
                return null;
            }
            boolean creation = request.path().equals("/api/kv-txn") && text.contains("bergamotwall/batches/step0\"");
            boolean inTime = now + LATE_MILLIS >= startedAt + DEADLINE_MILLIS + MARGIN_MILLIS;
            if (!creation || !inTime || !carriedOutAt.compareAndSet(0, now + LATE_MILLIS)) return Store.Hook.NEVER;
            world.record.line("the store gets a call that stores step0, and carries it out in " + LATE_MILLIS
                    + " ms, without a response");
            return LATE_MILLIS;
        };
    }
}
