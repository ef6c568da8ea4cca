import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    /** A map of {@code pairs}, names and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) out.append('{');
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "[";
            if (list.isEmpty()) out.append('[');
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            if (isPlain(string)) {
                out.append(string).append('"');
                return;
            }
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 0x20) {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private static boolean isPlain(String string) {
        for (int i = 0; i < string.length(); i++) {
            char c = string.charAt(i);
            if (c == '"' || c == '\\' || c < 0x20) return false;
        }
        return true;
    }

    private Object value() {
        blank();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                for (blank(); text.charAt(at) != '}'; blank()) {
                    if (text.charAt(at) == ',') at++;
                    blank();
                    String key = string();
                    blank();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                for (blank(); text.charAt(at) != ']'; blank()) {
                    if (text.charAt(at) == ',') at++;
                    list.add(value());
                }
                at++;
                return list;
            }
            case '"':
                return string();
            default:
                int start = at;
                while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
                return literal(text.substring(start, at));
        }
    }

    private static Object literal(String word) {
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        }
    }

    private String string() {
        int end = text.indexOf('"', at + 1);
        String plain = text.substring(at + 1, end);
        if (plain.indexOf('\\') < 0) {
            at = end + 1;
            return plain;
        }
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(++at);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 'r' -> out.append('\r');
                case 't' -> out.append('\t');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
