import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on sockets. */
final class Http {
    private Http() {
    }

    /** The head of a request or response and, once read, its body. Names of headers ignore case. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                if (field[0].equals(name)) {
                    return java.net.URLDecoder.decode(field.length > 1 ? field[1] : "", StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; null if the channel was closed before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (!(line = required(readLine(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body that follows [message]; [untilClose] if a body without length ends with the channel. */
    static void readBody(InputStream in, Message message, boolean untilClose) throws IOException {
        String length = message.headers.get("Content-Length");
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(required(readLine(in)).split(";")[0].trim(), 16)) > 0) {
                body.write(readBytes(in, size));
                readLine(in);
            }
            while (!required(readLine(in)).isEmpty()) {
                continue;
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = readBytes(in, Integer.parseInt(length));
        } else if (untilClose) {
            message.body = in.readAllBytes();
        }
    }

    /** Sends a request on a new channel and reads the whole response. Throws if there is none. */
    static Message call(String address, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMillis) throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(timeoutMillis);
            write(socket.getOutputStream(), method + " " + target + " HTTP/1.1", headers, body);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Message response = readHead(in);
            if (response == null) throw new EOFException("channel closed without an answer");
            readBody(in, response, true);
            return response;
        }
    }

    /** Writes a message whose body has a length. */
    static void write(OutputStream out, String startLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !startLine.startsWith("GET ")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("channel closed inside a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("channel closed inside a line");
            }
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static String required(String line) throws IOException {
        if (line == null) throw new EOFException("channel closed inside a message");
        return line;
    }
}
