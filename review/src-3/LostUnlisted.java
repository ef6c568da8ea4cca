import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store carries out late a call of a new machine: its first registration. The machine registers again, and goes on
 * taking work; its registration ends with the lease of the late call. Later it is lost for good with a submission.
 * {@code LATE=0} leaves out the late call only; with {@code PLANNED=1} the machine is removed with a SIGTERM.
 */
final class LostUnlisted {
    private static final long LATE_MILLIS = 2_000;
    private static final long KEEP_ADDRESSES_MILLIS = 6_000;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final long READ_MILLIS = 30_000;
    private static final int ITEMS = 36;
    private static final int ITEM_BYTES = 262_000;

    public static void main(String[] args) {
        World.run(args, LostUnlisted::run);
    }

    private static void run(World world) throws Exception {
        Replica replica = new Replica("i-1", "llm", world.store, world.record, (self, request, socket) ->
                Batches.generate(self, request, socket, 4, request.target.contains("warm") ? 20 : 500));
        replica.models.add(Json.of("name", World.MODEL, "version", 1, "loraAdapters", List.of()));
        replica.register();
        world.configure(3, List.of(World.rolloutRoute("r", "/b/", "llm")), List.of(World.service("llm", true)));
        world.start(3);
        Batches.warmUp(world);
        Fleet.Node other = world.fleet.nodes.get(0);

        // A machine is added.
        Fleet.Node added = world.fleet.add("edge-zone-a-4", true);
        AtomicBoolean late = new AtomicBoolean();
        if (world.trouble && !"0".equals(System.getenv("LATE"))) {
            world.store.hook = (request, text) -> {
                if (!request.path().equals("/api/kv-txn") || !text.contains("/members/" + added.id + "\"")) return null;
                if (!late.compareAndSet(false, true)) return null;
                world.record.line("the store carries out the registration of " + added.id + " in " + LATE_MILLIS
                        + " ms, without a response");
                return LATE_MILLIS;
            };
        }
        world.fleet.start(added);
        AtomicLong listedAt = new AtomicLong();
        long until = Store.now() + 15_000;
        boolean listed = false;
        // Requesters ask where to connect; each keeps the response for a while.
        while (Store.now() < until) {
            boolean now = addresses(other).contains(added.front());
            if (now != listed) world.record.line(added.id + (now ? " is" : " is no longer") + " among the addresses");
            listed = now;
            if (now) listedAt.set(Store.now());
            if (!now && listedAt.get() != 0) break;
            if (now && !late.get() && Store.now() > until - 8_000) break;
            Store.sleep(100);
        }
        if (listedAt.get() == 0) world.end(2, "the machine was never listed");
        if (late.get() && listed) world.end(2, "the late call had no effect");
        Store.sleep(1_500);
        boolean ready = world.fleet.awaitReady(added, 1);
        world.record.line(added.id + (ready ? " is" : " is not") + " ready; its registration: "
                + world.store.keys("").stream().filter(key -> key.endsWith("/members/" + added.id)).toList());

        // A trainer whose addresses are still good submits a step there.
        if (Store.now() > listedAt.get() + KEEP_ADDRESSES_MILLIS - 1_000) world.end(2, "the addresses are too old");
        byte[] body = body();
        world.record.line("the submission has " + body.length + " bytes; the addresses are "
                + (Store.now() - listedAt.get()) + " ms old");
        long submittedAt = Store.now();
        Http.Response response = Batches.submit(world, added, "step0", body, DEADLINE_MILLIS);
        if (response.status != 202) world.end(2, "the submission was not accepted");
        world.record.line("owner: " + Batches.ownerOf(world, "step0").id);
        while (count(replica) == 0) {
            if (Store.now() > submittedAt + 5_000) world.end(2, "no item has begun");
            Store.sleep(20);
        }
        Store.sleep(500);
        if (world.trouble && "1".equals(System.getenv("PLANNED"))) {
            // It is removed for good with a SIGTERM.
            world.fleet.signal(added, "TERM");
            added.process.waitFor();
            world.record.line(added.id + " has ended");
        } else if (world.trouble) {
            // It loses power for good.
            world.fleet.signal(added, "STOP");
            world.fleet.signal(added, "KILL");
        }
        long lostAt = Store.now();
        int begunBefore = count(replica);
        world.record.line(begunBefore + " of " + ITEMS + " items have begun, " + (lostAt - submittedAt)
                + " ms after the submission");
        long steadyAt = lostAt + 3_000;
        int read = 0;
        int begunAtDeadline = 0;
        while (read < ITEMS && Store.now() < lostAt + READ_MILLIS) {
            List<Map<String, Object>> results = Batches.read(world, other, "step0", 0);
            if (results != null && results.size() > read) {
                read = results.size();
                world.record.line(read + " results of step0 at " + other.id);
            }
            if (Store.now() < submittedAt + DEADLINE_MILLIS) begunAtDeadline = count(replica);
            Store.sleep(500);
        }
        world.record.line("steady since " + (steadyAt - submittedAt) + " ms after the submission, its time was out after "
                + DEADLINE_MILLIS + " ms");
        boolean broken = begunAtDeadline == begunBefore && begunBefore < ITEMS && read < ITEMS;
        world.end(broken ? 1 : 0, read + " of " + ITEMS + " results " + (Store.now() - submittedAt)
                + " ms after the submission; " + begunBefore + " items had begun " + (lostAt - submittedAt)
                + " ms after it, " + begunAtDeadline + " when its time was out, " + count(replica) + " now");
    }

    private static int count(Replica replica) {
        return (int) replica.runs.keySet().stream().filter(id -> id.startsWith("item")).count();
    }

    private static List<?> addresses(Fleet.Node node) {
        Http.Response response = Http.call(node.host + ":" + node.ports.get("directory"), "GET",
                "/api/resolve?name=" + World.HOST + "&region=r&zone=zone-a", List.of("Host: x"), null, 1_000);
        if (response.status != 200) return List.of();
        return (List<?>) Json.object(response.text()).get("addresses");
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
