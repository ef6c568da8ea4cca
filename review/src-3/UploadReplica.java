import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica that works on a request as its body arrives. The first one that gets a request crashes meanwhile. */
final class UploadReplica {
    private static final int FIRST_BYTES = 40_000;
    private final String id;
    private final World world;
    private final AtomicInteger begun;
    private final AtomicBoolean crashed;
    private final ServerSocket server;

    UploadReplica(String id, World world, AtomicInteger begun, AtomicBoolean crashed) throws Exception {
        this.id = id;
        this.world = world;
        this.begun = begun;
        this.crashed = crashed;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Http.daemon(this::accept).start();
    }

    void register() {
        world.store.put("servers/" + id, Json.of("service", "app", "address",
                "127.0.0.1:" + server.getLocalPort(), "zone", "zone-a", "version", "v1", "capacity", 6, "state", "ready",
                "coldRemainingMs", 0, "sequence", 1, "born", 1_700_000_000_000L));
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Http.daemon(() -> serve(socket)).start();
            } catch (Exception e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] first = in.readNBytes(FIRST_BYTES);
            if (first.length < FIRST_BYTES) return;
            String head = new String(first, "ISO-8859-1");
            world.record.line("replica " + id + " begins to work on r1, run " + begun.incrementAndGet());
            Store.sleep(200);
            if (world.trouble && crashed.compareAndSet(false, true)) {
                world.record.line("replica " + id + " crashes");
                server.close();
                // The system of a process that has ended resets its channels.
                socket.setSoLinger(true, 0);
                return;
            }
            int headBytes = head.indexOf("\r\n\r\n") + 4;
            int length = Integer.parseInt(head.toLowerCase().split("content-length: ")[1].split("\r\n")[0]);
            in.readNBytes(headBytes + length - FIRST_BYTES);
            Http.respond(socket, 200, List.of("Bergamotwall-Request-Id: r1",
                    "Bergamotwall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"), "done".getBytes());
            world.record.line("replica " + id + " answers 200");
        } catch (Exception e) {
            world.record.line("replica " + id + ": " + e);
        }
    }
}
