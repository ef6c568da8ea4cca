import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The parts of HTTP/1.1 that the cases need. */
final class Http {
    private Http() {
    }

    /** Head of a request or response. Names of fields are compared without regard to case. */
    static final class Head {
        final String[] start;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        private Head(String startLine) {
            start = startLine.split(" ", 3);
        }

        String method() {
            return start[0];
        }

        String path() {
            return start[1].split("\\?", 2)[0];
        }

        String query(String name) {
            String[] parts = start[1].split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                if (field[0].equals(name)) return URLDecoder.decode(field[1], StandardCharsets.UTF_8);
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String get(String name) {
            return fields.get(name);
        }
    }

    /** A complete response. */
    record Response(Head head, byte[] body) {
        int status() {
            return head.status();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; null if the channel ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Head head = new Head(line);
        while (!(line = readLine(in)).isEmpty()) {
            String[] field = line.split(":", 2);
            head.fields.put(field[0].trim(), field[1].trim());
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("inside a line");
            }
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body that follows [head], of a request, or of a response if [untilEnd] is allowed. */
    static byte[] readBody(Head head, InputStream in, boolean untilEnd) throws IOException {
        String length = head.get("Content-Length");
        if (length != null) return readFully(in, Integer.parseInt(length));
        if (!"chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) {
            return untilEnd ? in.readAllBytes() : new byte[0];
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("inside a body");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            body.write(readFully(in, size));
            readLine(in);
            if (size == 0) return body.toByteArray();
        }
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("inside a body");
        return bytes;
    }

    static void respond(OutputStream out, int status, String fields, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Sends a request on a new channel. */
    static Response call(String address, String method, String target, String fields, byte[] body, int timeoutMillis)
            throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMillis);
            OutputStream out = socket.getOutputStream();
            String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
            out.write((method + " " + target + " HTTP/1.1\r\n" + fields + length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Head head = readHead(in);
            if (head == null) throw new EOFException("no response");
            return new Response(head, readBody(head, in, true));
        }
    }
}
