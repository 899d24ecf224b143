package org.pollenhoist.experiments.serving;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays heavy days on both kinds of deployment and prints a line for each. */
@Command(name = "heavy-day", description = "Plays heavy days on simulated engines.")
public final class HeavyDayCommand implements Callable<Integer> {

    @Option(names = "--seeds", description = "Seeds, separated by commas.", split = ",", defaultValue = "1,2,3")
    private List<Long> seeds;

    @Option(names = "--load", description = "Load against that of a heavy day.", defaultValue = "1")
    private double load;

    @Option(names = "--calm", description = "Without faults.")
    private boolean isCalm;

    @Option(names = "--unlimited", description = "Every engine holds every model.")
    private boolean isUnlimited;

    @Option(names = "--windows", description = "Prints the attainment of each two seconds.")
    private boolean hasWindows;

    @Option(names = "--log", description = "Writes the placement's log.")
    private boolean hasLog;

    private HeavyDayCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new HeavyDayCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        ((Logger) LoggerFactory.getLogger("pollenhoist")).setLevel(hasLog ? Level.INFO : Level.WARN);
        List<HeavyDay.Fault> faults = isCalm ? List.of() : HeavyDay.commonFaults();
        for (HeavyDay day : List.of(
                HeavyDay.slowStore(load, faults),
                HeavyDay.fastStore(load, faults),
                HeavyDay.longPrompts(load, faults))) {
            HeavyDay played = isUnlimited ? day.withAllModelsEverywhere() : day;
            for (long seed : seeds) {
                print(played, seed, new FleetSimulation(played, seed).play(Duration.ofSeconds(41)));
            }
        }
        return 0;
    }

    private static String parts(Map<String, Double> byClass) {
        return byClass.entrySet().stream()
                .map(entry -> "%s:%.2f".formatted(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining(","));
    }

    private void print(HeavyDay day, long seed, DayResult result) {
        System.out.printf(
                Locale.ROOT,
                "%s seed=%d attainment=%.3f worst_windows=%.3f classes=%s served=%s of_largest=%s"
                        + " in_vain=%.3f loads=%d %s%n",
                day.name(),
                seed,
                result.attainment(),
                result.worstWindows(),
                parts(result.attainmentByClass()),
                parts(result.servedByClass()),
                parts(result.servedOfLargest()),
                result.returnedInVain(),
                result.storeLoads().size(),
                result.endings());
        if (hasWindows) {
            System.out.println(result.windows().stream().map("%.2f"::formatted).collect(Collectors.joining(" ")));
        }
    }
}
