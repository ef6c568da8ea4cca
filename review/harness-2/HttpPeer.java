import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server on a loopback port, one thread per channel. */
abstract class HttpPeer {
    private ServerSocket server;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private int port;
    /** Size of the buffer for bytes received, 0 for the default of the operating system. */
    int receiveBytes;

    final String address() {
        return "127.0.0.1:" + port;
    }

    final void open() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        if (receiveBytes > 0) server.setReceiveBufferSize(receiveBytes);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
        port = server.getLocalPort();
        ServerSocket accepting = server;
        Case.thread(() -> accept(accepting));
    }

    /** Ends like a process that is killed: no channel is accepted any more, and all are reset. */
    final void crash() throws IOException {
        server.close();
        for (Socket channel : channels) {
            channel.setSoLinger(true, 0);
            channel.close();
        }
    }

    private void accept(ServerSocket accepting) {
        while (!accepting.isClosed()) {
            try {
                Socket channel = accepting.accept();
                channel.setTcpNoDelay(true);
                channels.add(channel);
                Case.thread(() -> serve(channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            BufferedInputStream in = new BufferedInputStream(channel.getInputStream());
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                if (!handle(head, channel, in)) return;
            }
        } catch (Exception e) {
            // The channel has ended.
        } finally {
            channels.remove(channel);
        }
    }

    /** Answers the request with [head], whose body follows on [in]. Returns whether the channel is kept. */
    abstract boolean handle(Http.Head head, Socket channel, BufferedInputStream in) throws Exception;
}
