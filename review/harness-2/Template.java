import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a settings template as the platform does: values, JSON values, and sections. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{([#^])([\\w.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");

    private Template() {
    }

    static String render(String template, Map<String, Object> fields) {
        return render(template, fields, null);
    }

    private static String render(String template, Map<String, Object> fields, Object entry) {
        Matcher sections = SECTION.matcher(template);
        StringBuilder text = new StringBuilder();
        while (sections.find()) {
            Object value = find(sections.group(2), fields, entry);
            boolean present = value != null && !Boolean.FALSE.equals(value);
            String inner = present == sections.group(1).equals("#")
                    ? render(sections.group(3), fields, present ? value : entry) : "";
            sections.appendReplacement(text, Matcher.quoteReplacement(inner));
        }
        sections.appendTail(text);
        Matcher values = VALUE.matcher(text.toString());
        StringBuilder filled = new StringBuilder();
        while (values.find()) {
            Object value = find(values.group(1), fields, entry);
            boolean json = values.group(2) != null;
            String shown = value == null ? "" : json ? Json.write(value) : value.toString();
            values.appendReplacement(filled, Matcher.quoteReplacement(shown));
        }
        values.appendTail(filled);
        return filled.toString();
    }

    /** The value called [name], of which [entry] is the one called ".". */
    private static Object find(String name, Map<String, Object> fields, Object entry) {
        if (name.equals(".")) return entry;
        Object value = fields;
        for (String part : name.split("\\.")) {
            if (value instanceof List<?> list) value = list.get(Integer.parseInt(part));
            else if (value instanceof Map<?, ?> map) value = map.get(part);
            else return null;
        }
        return value;
    }
}
