package org.pollenhoist.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.pollenhoist.common.PollenhoistException;

/**
 * A table of a TOML file. Every faulty value becomes a finding and reads as a harmless stand-in value, so that one pass
 * finds all faults; call {@link Findings#throwIfAny} before the values are used.
 *
 * <p>Example: {@code TomlTable.load(file, findings).table("vm").text("name")}.
 */
public final class TomlTable {

    private static final TomlMapper MAPPER = new TomlMapper();
    private static final int MAXIMUM_PORT = 65_535;
    private static final String FALLBACK_ADDRESS = "127.0.0.1";

    private final String file;
    private final String path;
    private final ObjectNode values;
    private final TomlLines lines;
    private final Findings findings;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    private TomlTable(String file, String path, ObjectNode values, TomlLines lines, Findings findings) {
        this.file = file;
        this.path = path;
        this.values = values;
        this.lines = lines;
        this.findings = findings;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @param findings where faults are collected
     * @return the file's outermost table, empty where it can't be read
     */
    public static TomlTable load(Path path, Findings findings) {
        String file = path.toString();
        ObjectNode values = JsonNodeFactory.instance.objectNode();
        List<String> text = List.of();
        try {
            text = Files.readAllLines(path);
            values = (ObjectNode) MAPPER.readTree(String.join("\n", text));
        } catch (JsonProcessingException exception) {
            findings.add(syntaxFinding(file, exception));
        } catch (IOException exception) {
            findings.add(new Finding(
                    file, 0, "", exception.getClass().getSimpleName(), "a readable file", FindingCode.UNREADABLE));
        }
        return new TomlTable(file, "", values, TomlLines.of(text), findings);
    }

    private static Finding syntaxFinding(String file, JsonProcessingException exception) {
        JsonLocation location = exception.getLocation();
        int line = location == null ? 0 : location.getLineNr();
        return new Finding(file, line, "", exception.getOriginalMessage(), "TOML 1.0", FindingCode.SYNTAX);
    }

    /**
     * Adds a finding at a key of this table.
     *
     * @param key the key, empty for the table itself
     * @param actual what was found
     * @param expected what is allowed
     * @param code the kind of finding
     */
    public void reject(String key, String actual, String expected, FindingCode code) {
        String full = fullKey(key);
        findings.add(new Finding(file, lines.lineOf(full), full, actual, expected, code));
    }

    /** Adds a finding for each key that nobody has asked for. Call it after the last read. */
    public void rejectUnknownKeys() {
        for (String key : keys()) {
            if (!knownKeys.contains(key)) {
                reject(key, "'" + key + "'", String.join(", ", knownKeys), FindingCode.UNKNOWN_KEY);
            }
        }
    }

    /**
     * Tells whether a key is present.
     *
     * @param key the key
     * @return true where it has a value
     */
    public boolean has(String key) {
        knownKeys.add(key);
        return values.has(key);
    }

    /**
     * Returns a table below this one.
     *
     * @param key its key
     * @return the table, empty where it is absent
     */
    public TomlTable table(String key) {
        JsonNode node = value(key);
        if (node != null && !node.isObject()) {
            rejectType(key, node, "a table");
        }
        ObjectNode child = node instanceof ObjectNode object ? object : JsonNodeFactory.instance.objectNode();
        return new TomlTable(file, fullKey(key), child, lines, findings);
    }

    /**
     * Returns all tables of a table of tables, such as {@code [teams.NAME]}.
     *
     * @param key the key of the outer table
     * @return the tables by name, in the order of the file
     */
    public Map<String, TomlTable> tables(String key) {
        TomlTable outer = table(key);
        Map<String, TomlTable> tables = new LinkedHashMap<>();
        for (String name : outer.keys()) {
            tables.put(name, outer.table(name));
        }
        return tables;
    }

    /**
     * Reads a text that must be present.
     *
     * @param key the key
     * @return the text
     */
    public String text(String key) {
        JsonNode node = required(key, "a text");
        if (node != null && !node.isTextual()) {
            rejectType(key, node, "a text");
        }
        return node != null && node.isTextual() ? node.textValue() : "";
    }

    /**
     * Reads a text that has a default.
     *
     * @param key the key
     * @param fallback the default
     * @return the text
     */
    public String text(String key, String fallback) {
        return has(key) ? text(key) : fallback;
    }

    /**
     * Reads one of several words.
     *
     * @param key the key
     * @param fallback the default
     * @param allowed the allowed words
     * @return the word
     */
    public String word(String key, String fallback, List<String> allowed) {
        String found = text(key, fallback);
        if (!found.isEmpty() && !allowed.contains(found)) {
            reject(key, "'" + found + "'", String.join(", ", allowed), FindingCode.NOT_ALLOWED);
            return fallback;
        }
        return found;
    }

    /**
     * Reads a name.
     *
     * @param <N> the type of the name
     * @param key the key
     * @param parse makes the name from its text
     * @return the name, or empty where there is a finding
     */
    public <N> Optional<N> name(String key, Function<String, N> parse) {
        String found = text(key);
        return found.isEmpty() ? Optional.empty() : parsedName(key, found, parse);
    }

    /**
     * Reads the name that a table's own key gives.
     *
     * @param <N> the type of the name
     * @param name the key
     * @param parse makes the name from its text
     * @return the name, or empty where there is a finding
     */
    public <N> Optional<N> ownName(String name, Function<String, N> parse) {
        return parsedName("", name, parse);
    }

    private <N> Optional<N> parsedName(String key, String found, Function<String, N> parse) {
        try {
            return Optional.of(parse.apply(found));
        } catch (PollenhoistException exception) {
            reject(
                    key,
                    "'" + found + "'",
                    "1 to 63 of a-z, 0-9, '.', '_' and '-', the first one a letter or digit",
                    FindingCode.NOT_ALLOWED);
            return Optional.empty();
        }
    }

    /**
     * Reads a list of texts.
     *
     * @param key the key
     * @return the texts, empty where the key is absent
     */
    public List<String> texts(String key) {
        JsonNode node = value(key);
        List<String> found = new ArrayList<>();
        if (node == null) {
            return found;
        }
        if (!node.isArray()) {
            rejectType(key, node, "a list of texts");
            return found;
        }
        for (JsonNode element : node) {
            if (element.isTextual()) {
                found.add(element.textValue());
            } else {
                rejectType(key, element, "a list of texts");
            }
        }
        return found;
    }

    /**
     * Reads a list of names.
     *
     * @param <N> the type of the names
     * @param key the key
     * @param parse makes a name from its text
     * @return the well-formed names
     */
    public <N> Set<N> names(String key, Function<String, N> parse) {
        Set<N> names = new LinkedHashSet<>();
        for (String text : texts(key)) {
            parsedName(key, text, parse).ifPresent(names::add);
        }
        return names;
    }

    /**
     * Reads a truth value.
     *
     * @param key the key
     * @param fallback the default
     * @return the value
     */
    public boolean flag(String key, boolean fallback) {
        JsonNode node = value(key);
        if (node == null) {
            return fallback;
        }
        if (!node.isBoolean()) {
            rejectType(key, node, "true or false");
            return fallback;
        }
        return node.booleanValue();
    }

    /**
     * Reads a whole number that must be present.
     *
     * @param key the key
     * @param minimum the least allowed value
     * @param maximum the greatest allowed value
     * @return the number
     */
    public int integer(String key, int minimum, int maximum) {
        String expected = "a whole number from " + minimum + " to " + maximum;
        JsonNode node = required(key, expected);
        if (node == null) {
            return minimum;
        }
        if (!node.isIntegralNumber()) {
            rejectType(key, node, expected);
            return minimum;
        }
        if (!node.canConvertToInt() || node.intValue() < minimum || node.intValue() > maximum) {
            reject(key, node.asText(), expected, FindingCode.NOT_ALLOWED);
            return minimum;
        }
        return node.intValue();
    }

    /**
     * Reads a whole number that has a default.
     *
     * @param key the key
     * @param fallback the default
     * @param minimum the least allowed value
     * @param maximum the greatest allowed value
     * @return the number
     */
    public int integer(String key, int fallback, int minimum, int maximum) {
        return has(key) ? integer(key, minimum, maximum) : fallback;
    }

    /**
     * Reads a number that must be present.
     *
     * @param key the key
     * @param minimum the least allowed value
     * @param maximum the greatest allowed value
     * @return the number
     */
    public double number(String key, double minimum, double maximum) {
        String expected = String.format(Locale.ROOT, "a number from %s to %s", shortest(minimum), shortest(maximum));
        JsonNode node = required(key, expected);
        if (node == null) {
            return minimum;
        }
        if (!node.isNumber()) {
            rejectType(key, node, expected);
            return minimum;
        }
        double found = node.doubleValue();
        if (!(found >= minimum && found <= maximum)) {
            reject(key, node.asText(), expected, FindingCode.NOT_ALLOWED);
            return minimum;
        }
        return found;
    }

    /**
     * Reads a number that has a default.
     *
     * @param key the key
     * @param fallback the default
     * @param minimum the least allowed value
     * @param maximum the greatest allowed value
     * @return the number
     */
    public double number(String key, double fallback, double minimum, double maximum) {
        return has(key) ? number(key, minimum, maximum) : fallback;
    }

    /**
     * Reads an IP number. Host names are findings, since processes find each other by IP numbers only.
     *
     * @param key the key
     * @return the address
     */
    public String address(String key) {
        String found = text(key);
        if (isIpNumber(found)) {
            return found;
        }
        if (!found.isEmpty()) {
            reject(key, "'" + found + "'", "an IP number", FindingCode.NOT_ALLOWED);
        }
        return FALLBACK_ADDRESS;
    }

    /**
     * Reads a TCP port.
     *
     * @param key the key
     * @return the port
     */
    public int port(String key) {
        return integer(key, 1, MAXIMUM_PORT);
    }

    /**
     * Tells whether a text is an IP number.
     *
     * @param text the text
     * @return true for an IPv4 or IPv6 number
     */
    public static boolean isIpNumber(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }

    private List<String> keys() {
        List<String> keys = new ArrayList<>();
        values.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    private JsonNode required(String key, String expected) {
        JsonNode node = value(key);
        if (node == null) {
            reject(key, "nothing", expected, FindingCode.MISSING);
        }
        return node;
    }

    private JsonNode value(String key) {
        knownKeys.add(key);
        return values.get(key);
    }

    private void rejectType(String key, JsonNode node, String expected) {
        reject(key, node.toString(), expected, FindingCode.WRONG_TYPE);
    }

    private String fullKey(String key) {
        if (path.isEmpty() || key.isEmpty()) {
            return path + key;
        }
        return path + "." + key;
    }

    private static String shortest(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
