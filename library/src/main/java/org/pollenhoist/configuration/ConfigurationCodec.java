package org.pollenhoist.configuration;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.UpstreamName;

/**
 * The stored form of a configuration: equal configurations give equal bytes.
 *
 * <p>Keys change more often than the rest and alone, so that both are encoded apart and joined.
 */
public final class ConfigurationCodec {

    private static final String JOINT = ",\"keys\":";
    private static final String START = "{\"rules\":";
    private static final String END = "}";
    private static final Comparator<KeyRecord> BY_DIGEST = Comparator.comparing(KeyRecord::digest);
    private static final JsonMapper MAPPER =
            JsonMapper.builder().addModule(module()).build();

    private ConfigurationCodec() {}

    /**
     * Encodes a configuration with its keys.
     *
     * @param configuration the configuration
     * @return its bytes
     */
    public static byte[] encode(Configuration configuration) {
        return join(encodeRules(configuration), encodeKeys(configuration));
    }

    /**
     * Decodes a configuration with its keys.
     *
     * @param content what {@link #encode} or {@link #join} gave
     * @return the configuration
     * @throws PollenhoistException with {@code INVALID_CONFIGURATION} where the bytes have another form
     */
    public static Configuration decode(byte[] content) {
        return withKeys(decoded(content, new TypeReference<StoredConfiguration>() {}));
    }

    /**
     * Encodes all but the keys.
     *
     * @param configuration the configuration
     * @return the bytes
     */
    public static byte[] encodeRules(Configuration configuration) {
        return encoded(new Rules(
                new ArrayList<>(configuration.teams().values()),
                configuration.profiles().values().stream()
                        .map(StoredProfile::of)
                        .toList(),
                new ArrayList<>(configuration.models().values()),
                new ArrayList<>(configuration.routes().values()),
                new ArrayList<>(configuration.upstreams().values()),
                configuration.weightStore()));
    }

    /**
     * Encodes the keys.
     *
     * @param configuration the configuration
     * @return the bytes
     */
    public static byte[] encodeKeys(Configuration configuration) {
        return encoded(configuration.keys().values().stream().sorted(BY_DIGEST).toList());
    }

    /**
     * Joins encoded rules and keys without decoding them.
     *
     * @param rules what {@link #encodeRules} gave
     * @param keys what {@link #encodeKeys} gave
     * @return the same as {@link #encode}
     */
    public static byte[] join(byte[] rules, byte[] keys) {
        String text = START
                + new String(rules, StandardCharsets.UTF_8)
                + JOINT
                + new String(keys, StandardCharsets.UTF_8)
                + END;
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Configuration withKeys(StoredConfiguration stored) {
        Map<String, KeyRecord> keys = new HashMap<>();
        stored.keys().forEach(key -> keys.put(key.digest(), key));
        Rules rules = stored.rules();
        return new Configuration(
                SortedMaps.by(rules.teams(), Team::name),
                SortedMaps.by(
                        rules.profiles().stream().map(StoredProfile::profile).toList(), Profile::name),
                SortedMaps.by(rules.models(), Model::name),
                SortedMaps.by(rules.routes(), Route::name),
                SortedMaps.by(rules.upstreams(), Upstream::name),
                rules.weightStore(),
                keys);
    }

    private static byte[] encoded(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static <T> T decoded(byte[] content, TypeReference<T> type) {
        try {
            return MAPPER.readValue(content, type);
        } catch (IOException exception) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "stored configuration of " + content.length + " bytes can't be decoded: " + exception.getMessage(),
                    exception);
        }
    }

    private static SimpleModule module() {
        SimpleModule module = new SimpleModule();
        addName(module, AdapterName.class, AdapterName::of);
        addName(module, FailureDomain.class, FailureDomain::of);
        addName(module, ModelName.class, ModelName::of);
        addName(module, ProfileName.class, ProfileName::of);
        addName(module, RouteName.class, RouteName::of);
        addName(module, TeamName.class, TeamName::of);
        addName(module, UpstreamName.class, UpstreamName::of);
        module.addSerializer(Set.class, new SortedSetSerializer());
        return module;
    }

    private static <N> void addName(SimpleModule module, Class<N> type, Function<String, N> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new NameDeserializer<>(type, parse));
    }

    private record StoredConfiguration(Rules rules, List<KeyRecord> keys) {}

    private static final class NameDeserializer<N> extends StdDeserializer<N> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, N> parse;

        NameDeserializer(Class<N> type, Function<String, N> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        public N deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return parse.apply(parser.getText());
        }
    }

    /** Sets have no order of their own, and the bytes must not depend on it. */
    @SuppressWarnings("rawtypes")
    private static final class SortedSetSerializer extends JsonSerializer<Set> {

        @Override
        public void serialize(Set value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            List<String> texts = new ArrayList<>();
            for (Object element : value) {
                texts.add(element.toString());
            }
            texts.sort(Comparator.naturalOrder());
            generator.writeStartArray();
            for (String text : texts) {
                generator.writeString(text);
            }
            generator.writeEndArray();
        }
    }
}
