import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica works on a request with a long body while the body arrives, and crashes before it has read all of it. The
 * request must run once at most.
 */
final class CrashWhileReading {
    private static final int BODY_BYTES = 8_000_000;

    public static void main(String[] args) {
        World.run(args, CrashWhileReading::run);
    }

    private static void run(World world) throws Exception {
        AtomicInteger begun = new AtomicInteger();
        AtomicBoolean crashed = new AtomicBoolean();
        List<UploadReplica> replicas = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            UploadReplica replica = new UploadReplica("i-" + i, world, begun, crashed);
            replica.register();
            replicas.add(replica);
        }
        world.configure(3, List.of(World.route("r", "/a/", "non_idempotent", "app", 8_000, 3)),
                List.of(World.service("app", false)));
        world.start(2);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        Http.Response response = Http.call(world.fleet.nodes.get(0).front(), "POST", "/a/upload",
                World.headers("r1", "Bergamotwall-Deadline-Ms: 8000"), body, 10_000);
        world.record.line("r1: " + response + " " + response.text());
        Store.sleep(1_000);
        boolean promised = List.of(408, 421, 429, 503).contains(response.status);
        if (begun.get() == 0) world.end(2, "the request has not begun at a replica");
        if (world.trouble && !crashed.get()) world.end(2, "no replica has crashed");
        boolean broken = begun.get() > 1 || promised;
        world.end(broken ? 1 : 0, "one request attempt of a non_idempotent route has begun to run at " + begun.get()
                + " replicas, and was answered " + response);
    }
}
