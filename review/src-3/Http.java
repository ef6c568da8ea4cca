import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP/1.1 client and server on blocking sockets, which leave all timing and all resets to the caller. */
final class Http {
    private Http() {
    }

    /** A request as received. Header names are in lower case. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String query(String name) {
            int query = target.indexOf('?');
            if (query < 0) return null;
            for (String part : target.substring(query + 1).split("&")) {
                int equals = part.indexOf('=');
                if (equals > 0 && part.substring(0, equals).equals(name)) {
                    return URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A response as received; {@code failure} is set instead of a status if the connection ended before its end. */
    static final class Response {
        int status;
        String failure;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            return failure == null ? Integer.toString(status) : "no response (" + failure + ")";
        }
    }

    /** Handles one request; returns whether the connection is kept. */
    interface Handler {
        boolean handle(Request request, Socket socket) throws Exception;
    }

    /** Serves {@code handler} on a free port of {@code host} until the program ends. */
    static ServerSocket serve(String host, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(host, 0), 512);
        ExecutorService threads = Executors.newCachedThreadPool(Http::daemon);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    threads.execute(() -> serveConnection(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }).start();
        return server;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private static void serveConnection(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            boolean kept = true;
            while (kept) {
                Request request = readRequest(in);
                if (request == null) return;
                kept = handler.handle(request, socket);
            }
        } catch (Exception e) {
            // The peer has closed the connection, or the handler has reset it.
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        String[] parts = line.split(" ");
        Request request = new Request();
        request.method = parts[0];
        request.target = parts[1];
        readHeaders(in, request.headers);
        if ("chunked".equalsIgnoreCase(request.headers.get("transfer-encoding"))) {
            request.body = readChunks(in);
        } else {
            request.body = readBytes(in, Integer.parseInt(request.headers.getOrDefault("content-length", "0")));
        }
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("ended inside a chunked body");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) {
                readHeaders(in, new LinkedHashMap<>());
                return body.toByteArray();
            }
            body.write(readBytes(in, size));
            readLine(in);
        }
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new IOException("ended inside a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a whole response with a length. */
    static void respond(Socket socket, int status, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        OutputStream out = socket.getOutputStream();
        out.write(message.toByteArray());
        out.flush();
    }

    /** Sends one request on a new connection, and waits for its response for {@code timeoutMillis}. */
    static Response call(String address, String method, String target, List<String> headers, byte[] body,
            int timeoutMillis) {
        Response response = new Response();
        try (Socket socket = new Socket()) {
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            socket.connect(new InetSocketAddress(address.substring(0, colon), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            List<String> all = new ArrayList<>(headers);
            if (body != null) all.add("Content-Length: " + body.length);
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write((method + " " + target + " HTTP/1.1\r\n" + String.join("\r\n", all) + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) message.write(body);
            socket.getOutputStream().write(message.toByteArray());
            socket.getOutputStream().flush();
            readResponse(new java.io.BufferedInputStream(socket.getInputStream()), response);
        } catch (IOException e) {
            response.failure = e.getClass().getSimpleName() + ": " + e.getMessage();
        }
        return response;
    }

    private static void readResponse(InputStream in, Response response) throws IOException {
        String line = readLine(in);
        if (line == null) throw new IOException("closed without a response");
        response.status = Integer.parseInt(line.split(" ")[1]);
        readHeaders(in, response.headers);
        if ("chunked".equalsIgnoreCase(response.headers.get("transfer-encoding"))) {
            response.body = readChunks(in);
        } else if (response.headers.containsKey("content-length")) {
            response.body = readBytes(in, Integer.parseInt(response.headers.get("content-length")));
        }
    }
}
