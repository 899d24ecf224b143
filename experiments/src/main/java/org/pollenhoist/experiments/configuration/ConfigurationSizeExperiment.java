package org.pollenhoist.experiments.configuration;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentException;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;

/**
 * Bytes of a configuration on the users' platform against its number of routes: as the operator writes it, as the store
 * sends it, and compressed, with the processor time that compressing takes on one thread.
 */
public final class ConfigurationSizeExperiment implements Experiment {

    private static final List<Integer> ROUTES = List.of(60, 350, 955, 2_200);
    private static final List<Integer> LEVELS = List.of(Deflater.BEST_SPEED, 6);
    private static final int MODELS = 112;
    private static final int TENANTS = 13;
    private static final int WARM_UP_TURNS = 100;
    private static final int TURNS = 200;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final int BASE64_GROUP_BYTES = 3;
    private static final int BASE64_GROUP_CHARACTERS = 4;
    private static final String CONSONANTS = "bcdfghjklmnprstvwxyz";
    private static final String VOWELS = "aeiouy";
    private static final String LETTERS_AND_DIGITS = "abcdefghijklmnopqrstuvwxyz0123456789";

    /** Does the same work again and again. */
    @FunctionalInterface
    private interface Work {

        /** Does it once and returns the number of bytes that come out. */
        int run();
    }

    @Override
    public String name() {
        return "configuration-size";
    }

    @Override
    public String description() {
        return "Bytes of a configuration by its routes, plain and compressed, and processor time to compress.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        for (int routes : ROUTES) {
            progress.report(routes + " routes");
            byte[] plain = configuration(routes, new Random(seed)).getBytes(StandardCharsets.UTF_8);
            String suffix = ", " + routes + " routes";
            measures.add(measure("JSON" + suffix, "B", plain.length));
            measures.add(measure("base64 of it" + suffix, "B", base64Length(plain.length)));
            for (int level : LEVELS) {
                addCompressed(measures, plain, level, " at level " + level + suffix);
            }
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static void addCompressed(List<Measure> measures, byte[] plain, int level, String suffix) {
        byte[] target = new byte[plain.length];
        double first = milliseconds(1, () -> deflate(plain, level, target));
        int length = deflate(plain, level, target);
        milliseconds(WARM_UP_TURNS, () -> deflate(plain, level, target));
        double warm = milliseconds(TURNS, () -> deflate(plain, level, target));
        byte[] restored = new byte[plain.length];
        milliseconds(WARM_UP_TURNS, () -> inflate(target, length, restored));
        double inflating = milliseconds(TURNS, () -> inflate(target, length, restored));
        measures.add(measure("compressed" + suffix, "B", length));
        measures.add(measure("first compression" + suffix, "ms", first));
        measures.add(measure("compression when warm" + suffix, "ms", warm));
        measures.add(measure("restoring when warm" + suffix, "ms", inflating));
    }

    private static Measure measure(String what, String unit, double value) {
        return Measure.of(what, unit, Direction.LOWER_IS_BETTER, new Reading("java.util.zip", value));
    }

    private static int base64Length(int bytes) {
        return Math.ceilDiv(bytes, BASE64_GROUP_BYTES) * BASE64_GROUP_CHARACTERS;
    }

    /** Returns the processor time of one turn on average. */
    private static double milliseconds(int turns, Work work) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long begin = threads.getCurrentThreadCpuTime();
        long written = 0;
        for (int turn = 0; turn < turns; turn++) {
            written += work.run();
        }
        double elapsed = threads.getCurrentThreadCpuTime() - begin;
        if (written == 0) {
            throw new IllegalStateException("nothing was written in " + turns + " turns");
        }
        return elapsed / turns / NANOSECONDS_PER_MILLISECOND;
    }

    private static int deflate(byte[] plain, int level, byte[] target) {
        Deflater deflater = new Deflater(level);
        try {
            deflater.setInput(plain);
            deflater.finish();
            return deflater.deflate(target);
        } finally {
            deflater.end();
        }
    }

    private static int inflate(byte[] compressed, int length, byte[] target) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed, 0, length);
            return inflater.inflate(target);
        } catch (DataFormatException exception) {
            throw ExperimentException.failed("restoring what was compressed", exception);
        } finally {
            inflater.end();
        }
    }

    /** Returns a configuration in the operator's format; each route has a host, a prefix and a name of its own. */
    private static String configuration(int routes, Random random) {
        String service = word(random) + number(random);
        String canary = word(random) + number(random);
        String routeList = IntStream.range(0, routes)
                .mapToObj(index -> route(random, index % 2 == 0 ? split(service, canary) : service(service)))
                .collect(Collectors.joining(","));
        String models =
                IntStream.range(0, MODELS).mapToObj(index -> model(random)).collect(Collectors.joining(","));
        String tenants =
                IntStream.range(0, TENANTS).mapToObj(index -> tenant(random)).collect(Collectors.joining(","));
        String text = """
                {"version":7,"routes":[%s],"services":[{"name":"%s","healthPath":"/health","maxConns":830,\
                "protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":111686,"kvTokenBytes":163840,\
                "models":[%s],"weightsMb":230000.0,"maxAdapters":5,"loadsPerS":8.5}},{"name":"%s",\
                "healthPath":"/health","maxConns":570,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,\
                "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}""";
        return text.formatted(routeList, service, models, canary, tenants);
    }

    private static String route(Random random, String target) {
        return """
                {"name":"r-%s","host":"%s%d.example","pathPrefix":"/%s%d/","type":"streaming","timeoutMs":%d,\
                "sloMs":%d,"priority":%d,%s,"maxAttempts":%d,"public":false,"sticky":%b,"resumable":%b,\
                "gapTargetMs":400}""".formatted(
                        text(random, 7),
                        word(random),
                        10 + random.nextInt(90),
                        word(random),
                        number(random),
                        1_000 * (2 + random.nextInt(8)),
                        500 + random.nextInt(2_500),
                        random.nextInt(3),
                        target,
                        1 + random.nextInt(3),
                        random.nextBoolean(),
                        random.nextBoolean());
    }

    private static String split(String service, String canary) {
        return "\"split\":[{\"service\":\"%s\",\"weight\":90},{\"service\":\"%s\",\"weight\":10}]"
                .formatted(service, canary);
    }

    private static String service(String service) {
        return "\"service\":\"" + service + '"';
    }

    private static String model(Random random) {
        return """
                {"name":"%s%s","weightsMb":72700.0,"loadTimeS":2.4,"adapters":%d,"adapterSizeMb":66.0,"warmupS":1.2,\
                "diskLoadS":1.6}""".formatted(word(random), text(random, 6), random.nextInt(30));
    }

    private static String tenant(Random random) {
        return """
                {"name":"%s%d","apiKeys":["%s","%s"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":162336,\
                "burst":162336}""".formatted(word(random), number(random), text(random, 20), text(random, 20));
    }

    private static String word(Random random) {
        return "" + letter(CONSONANTS, random) + letter(VOWELS, random) + letter(CONSONANTS, random)
                + letter(VOWELS, random);
    }

    private static int number(Random random) {
        return 100 + random.nextInt(900);
    }

    private static String text(Random random, int length) {
        return IntStream.range(0, length)
                .mapToObj(index -> String.valueOf(letter(LETTERS_AND_DIGITS, random)))
                .collect(Collectors.joining());
    }

    private static char letter(String letters, Random random) {
        return letters.charAt(random.nextInt(letters.length()));
    }
}
