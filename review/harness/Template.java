import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in the settings template: values and sections, as far as the project's template uses them. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([\\w.]+)}}((?:(?!\\{\\{#).)*?)\\{\\{/\\1}}",
            Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");

    private Template() {
    }

    static String fill(String template, Map<String, Object> fields) {
        String text = template;
        Matcher section = SECTION.matcher(text);
        while (section.find()) {
            Object value = find(fields, section.group(1));
            String inner = value == null ? "" : section.group(2).replace("{{.|json}}", Json.write(value));
            text = text.substring(0, section.start()) + inner + text.substring(section.end());
            section = SECTION.matcher(text);
        }
        Matcher matcher = VALUE.matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            Object value = find(fields, matcher.group(1));
            String shown = matcher.group(2) != null ? Json.write(value) : String.valueOf(value);
            matcher.appendReplacement(out, Matcher.quoteReplacement(shown));
        }
        return matcher.appendTail(out).toString();
    }

    private static Object find(Object from, String path) {
        Object value = from;
        for (String name : path.split("\\.")) {
            if (value instanceof Map<?, ?> map) value = map.get(name);
            else if (value instanceof List<?> list) value = list.get(Integer.parseInt(name));
            else return null;
        }
        return value;
    }
}
