import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans. */
final class JsonReader {

    private final String text;
    private int at;

    private JsonReader(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new JsonReader(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String key = string();
                next();
                at++;
                map.put(key, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int begin = at;
        while (at < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(begin, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        next();
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c == '\\') {
                at++;
                c = text.charAt(at);
                switch (c) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                    }
                    default -> out.append(c);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }
}
