package org.pollenhoist.serving.node;

import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Versions of a configuration as text that compresses like a real one: routes with names of their own. */
final class SimulatedConfiguration {

    private static final long SEED = 14;
    private static final String[] SYLLABLES = {
        "gu", "losh", "pho", "ol", "tha", "las", "sa", "be", "ni", "kro", "mer", "tu", "vel", "ax", "ir", "zon"
    };
    private static final String ROUTE = """
            {"path":"/v1/%s/%s","methods":["GET","POST"],"service":"%s-%s","upstreams":[{"pool":"%s","weight":%d},\
            {"pool":"%s","weight":%d}],"timeoutMs":%d,"retries":%d,"tenants":["%s","%s"],"key":"%016x"},
            """;

    private SimulatedConfiguration() {}

    /**
     * Returns a version.
     *
     * @param version its number, which also decides the one route that differs from all other versions
     * @param bytes the size of its routes, 0 for none
     */
    static byte[] of(long version, int bytes) {
        StringBuilder text = new StringBuilder().append(version);
        if (bytes > 0) {
            Random random = new Random(SEED);
            text.append('\n').append(route(new Random(version)));
            while (text.length() < bytes) {
                text.append(route(random));
            }
            text.setLength(bytes);
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static String route(Random random) {
        String service = name(random);
        return ROUTE.formatted(
                name(random),
                name(random),
                service,
                name(random),
                service,
                random.nextInt(100),
                name(random),
                random.nextInt(100),
                100 * random.nextInt(100),
                random.nextInt(4),
                name(random),
                name(random),
                random.nextLong());
    }

    private static String name(Random random) {
        StringBuilder name = new StringBuilder();
        for (int syllable = 0; syllable < 3; syllable++) {
            name.append(SYLLABLES[random.nextInt(SYLLABLES.length)]);
        }
        return name.toString();
    }

    /** Reads the number of a version. */
    static long versionOf(byte[] configuration) {
        int end = 0;
        while (end < configuration.length && Character.isDigit(configuration[end])) {
            end++;
        }
        return Long.parseLong(new String(configuration, 0, end, StandardCharsets.US_ASCII));
    }
}
