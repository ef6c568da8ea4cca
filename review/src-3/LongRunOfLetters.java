import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica answers one request with a status map of a letter for each freezer, most of them 'H'. */
final class LongRunOfLetters {
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int SLACK_MILLIS = 500;
    private static final int REQUESTS = 16;

    public static void main(String[] args) {
        World.run(args, LongRunOfLetters::run);
    }

    private static void run(World world) throws Exception {
        // Rows of 80 letters; the calm run differs in the letter only.
        String row = (world.trouble ? "H" : "G").repeat(79) + "L\n";
        String map = row.repeat(5_000);
        Replica replica = new Replica("i-1", "app", world.store, world.record, (self, request, socket) -> {
            self.respond(socket, request, 200, request.target.equals("/i/map") ? map : "logged");
            return true;
        });
        replica.register();
        world.configure(3, List.of(World.route("i", "/i/", "idempotent", "app", TIMEOUT_MILLIS, 2)),
                List.of(World.service("app", false)));
        world.start(2);
        Fleet.Node node = world.fleet.nodes.get(0);
        for (int i = 0; i < 5; i++) {
            Http.Response response = ping(world, node, "before" + i);
            if (response.status != 200) world.end(2, "a request before the map was not served: " + response);
        }

        Thread reader = new Thread(() -> {
            long sentAt = Store.now();
            world.record.line("the map is requested at " + node.id);
            Http.Response response = Http.call(node.front(), "GET", "/i/map",
                    World.headers("map", "Bergamotwall-Deadline-Ms: " + TIMEOUT_MILLIS), null, 60_000);
            world.record.line("the map: " + response + ", " + response.body.length + " bytes, after "
                    + (Store.now() - sentAt) + " ms");
        });
        reader.start();
        Store.sleep(300);

        AtomicInteger late = new AtomicInteger();
        CountDownLatch answered = new CountDownLatch(REQUESTS);
        List<Thread> pings = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "ping" + i;
            Thread thread = Http.daemon(() -> {
                long sentAt = Store.now();
                Http.Response response = ping(world, node, id);
                long tookMillis = Store.now() - sentAt;
                if (tookMillis > TIMEOUT_MILLIS + SLACK_MILLIS) late.incrementAndGet();
                world.record.line(id + ": " + response + " after " + tookMillis + " ms");
                answered.countDown();
            });
            thread.start();
            Store.sleep(50);
        }
        long askedAt = Store.now();
        Http.Response ready = Http.call(node.ready(), "GET", "/api/readyz", List.of("Host: x"), null, 60_000);
        world.record.line("readiness: " + ready + " after " + (Store.now() - askedAt) + " ms");
        answered.await();
        reader.join();
        // Eight or more, and over a quarter of those that were sent.
        boolean broken = late.get() >= 8 && late.get() * 4 > REQUESTS;
        world.end(broken ? 1 : 0, late.get() + " of " + REQUESTS + " requests had no answer "
                + SLACK_MILLIS + " ms after their route's timeoutMs of " + TIMEOUT_MILLIS + " ms");
    }

    private static Http.Response ping(World world, Fleet.Node node, String id) {
        return Http.call(node.front(), "POST", "/i/ping",
                World.headers(id, "Bergamotwall-Deadline-Ms: " + TIMEOUT_MILLIS), "low".getBytes(), 60_000);
    }
}
