import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts channels on a loopback address, one thread each. */
abstract class HttpServer {
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket server;

    HttpServer() throws IOException {
        server = listen(0);
        port = server.getLocalPort();
    }

    final String address() {
        return "127.0.0.1:" + port;
    }

    /** Closes all channels and the port, as the operating system does when a process is killed. */
    final void crash() throws IOException {
        server.close();
        for (Socket socket : channels) socket.close();
    }

    /** Accepts channels again after [crash]. */
    final void restart() throws IOException {
        server = listen(port);
    }

    private ServerSocket listen(int at) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 512);
        daemon(() -> accept(socket));
        return socket;
    }

    /** Serves one request that was read whole. Returns whether the channel is kept. */
    abstract boolean serve(Http.Message request, Socket socket, BufferedInputStream in) throws Exception;

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serveAll(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serveAll(Socket socket) {
        channels.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request;
            while ((request = Http.readHead(in)) != null) {
                Http.readBody(in, request, false);
                if (!serve(request, socket, in)) return;
            }
        } catch (Exception e) {
            // The channel was closed or reset.
        } finally {
            channels.remove(socket);
        }
    }
}
