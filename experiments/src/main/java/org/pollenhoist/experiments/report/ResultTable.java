package org.pollenhoist.experiments.report;

import java.util.Locale;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;

/** Writes a result as a table for a terminal. */
public final class ResultTable {

    private static final String ROW = "%-44s %-24s %14s %s%n";

    private ResultTable() {}

    /**
     * Writes a result.
     *
     * @param result the result
     * @return the table with a line for each reading
     */
    public static String write(ExperimentResult result) {
        StringBuilder table = new StringBuilder();
        table.append(String.format(
                Locale.ROOT,
                "experiment=%s seed=%d length=%ds%n",
                result.experiment(),
                result.seed(),
                result.length().toSeconds()));
        table.append(String.format(Locale.ROOT, ROW, "measure", "variant", "value", "unit"));
        for (Measure measure : result.measures()) {
            for (Reading reading : measure.readings()) {
                table.append(String.format(
                        Locale.ROOT, ROW, measure.name(), reading.variant(), number(reading.value()), measure.unit()));
            }
        }
        return table.toString();
    }

    static String number(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
