package org.pollenhoist.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.pollenhoist.standins.engine.EngineReport.Resident;
import org.pollenhoist.standins.faults.ListenOptions;
import org.pollenhoist.standins.faults.StandInServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Starts a model engine's stand-in as a process. */
@Command(
        name = "engine-stand-in",
        mixinStandardHelpOptions = true,
        description = "Answers as a model engine; starts empty but for the models named.")
public final class EngineStandIn implements Callable<Integer> {

    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final int START_MODEL_PARTS = 3;

    @Mixin
    private final ListenOptions listen = new ListenOptions();

    @Option(names = "--name", defaultValue = "engine", description = "name in reports")
    private String name = "engine";

    @Option(names = "--first-token-millis", defaultValue = "20", description = "time to the first token")
    private double firstTokenMilliseconds;

    @Option(
            names = "--cached-first-token-millis",
            defaultValue = "5",
            description = "time to the first token where the prompt's prefix is cached")
    private double cachedFirstTokenMilliseconds;

    @Option(names = "--token-millis", defaultValue = "5", description = "time between tokens")
    private double tokenMilliseconds;

    @Option(names = "--concurrent-sequences", defaultValue = "64", description = "sequences that run at once")
    private int concurrentSequences;

    @Option(names = "--memory-bytes", defaultValue = "80000000000", description = "memory for models and adapters")
    private long memoryBytes;

    @Option(names = "--load-bytes-per-second", defaultValue = "8000000000", description = "speed of loading")
    private long loadBytesPerSecond;

    @Option(names = "--order-delay-millis", defaultValue = "0", description = "time before an order begins")
    private double orderDelayMilliseconds;

    @Option(names = "--report-lag-millis", defaultValue = "0", description = "age of reports")
    private double reportLagMilliseconds;

    @Option(names = "--cache-event-lag-millis", defaultValue = "0", description = "lag of cache events")
    private double cacheEventLagMilliseconds;

    @Option(names = "--cache-event-gap", defaultValue = "0", description = "every how many cache events one is lost")
    private int cacheEventGap;

    @Option(names = "--cached-prefixes", defaultValue = "1000", description = "prompt prefixes that the cache holds")
    private int cachedPrefixes;

    @Option(names = "--ignores-old-fencing", description = "carries out orders with an old fencing number")
    private boolean ignoresOldFencing;

    @Option(names = "--start-model", paramLabel = "NAME:VERSION:BYTES", description = "a model in memory at start")
    private List<String> startModels = new ArrayList<>();

    @Option(names = "--crash-text", defaultValue = "", description = "a prompt with this text ends the process")
    private String crashText = "";

    /** Creates the launcher. */
    public EngineStandIn() {}

    /**
     * Starts the process.
     *
     * @param arguments the command line's arguments
     */
    public static void main(String[] arguments) {
        StandInServer.launch(new EngineStandIn(), arguments);
    }

    @Override
    public Integer call() throws Exception {
        EngineModel model = new EngineModel(settings(), UUID.randomUUID().toString());
        startModels.forEach(text -> model.holdAtStart(startModel(text)));
        StandInServer.start(listen, new EngineHandler(model, crashText));
        return ExitCode.OK;
    }

    private EngineSettings settings() {
        return new EngineSettings(
                name,
                duration(firstTokenMilliseconds),
                duration(cachedFirstTokenMilliseconds),
                duration(tokenMilliseconds),
                concurrentSequences,
                memoryBytes,
                loadBytesPerSecond,
                duration(orderDelayMilliseconds),
                duration(reportLagMilliseconds),
                duration(cacheEventLagMilliseconds),
                cacheEventGap,
                cachedPrefixes,
                !ignoresOldFencing);
    }

    private static Duration duration(double milliseconds) {
        return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
    }

    private static Resident startModel(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != START_MODEL_PARTS) {
            throw new IllegalArgumentException("start model is '" + text + "', expected NAME:VERSION:BYTES");
        }
        return new Resident("model", parts[0], parts[1], Long.parseLong(parts[2]), "ready");
    }
}
