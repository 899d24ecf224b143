package org.pollenhoist.experiments.report;

import java.util.Locale;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;

/** Draws a result as SVG: a group of bars for each measure, each bar with its variant and value. */
public final class ResultPicture {

    private static final int WIDTH = 900;
    private static final int BAR_LEFT = 260;
    private static final int BAR_WIDTH = 480;
    private static final int LINE_HEIGHT = 22;
    private static final int BAR_HEIGHT = 14;
    private static final int TEXT_SHIFT = 11;
    private static final int MARGIN = 16;
    private static final String OWN_COLOUR = "#2a6f97";
    private static final String BASELINE_COLOUR = "#b0bec5";

    private ResultPicture() {}

    /**
     * Draws a result.
     *
     * @param result the result
     * @return SVG
     */
    public static String draw(ExperimentResult result) {
        StringBuilder body = new StringBuilder();
        int top = MARGIN;
        top = appendText(body, MARGIN, top, "bold", title(result));
        for (Measure measure : result.measures()) {
            String better = measure.direction() == Direction.LOWER_IS_BETTER ? "lower is better" : "higher is better";
            top = appendText(
                    body,
                    MARGIN,
                    top + BAR_HEIGHT / 2,
                    "bold",
                    measure.name() + ", " + measure.unit() + " (" + better + ")");
            for (Reading reading : measure.readings()) {
                top = appendBar(body, top, measure, reading);
            }
        }
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + WIDTH + "\" height=\"" + (top + MARGIN)
                + "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + body + "</svg>\n";
    }

    private static String title(ExperimentResult result) {
        return result.experiment() + ", seed " + result.seed() + ", "
                + result.length().toSeconds() + " s";
    }

    private static int appendText(StringBuilder body, int left, int top, String weight, String text) {
        body.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" font-weight=\"%s\">%s</text>%n",
                left,
                top + TEXT_SHIFT,
                weight,
                escape(text)));
        return top + LINE_HEIGHT;
    }

    private static int appendBar(StringBuilder body, int top, Measure measure, Reading reading) {
        double highest = measure.readings().stream()
                .mapToDouble(each -> Math.abs(each.value()))
                .max()
                .orElse(0);
        double width = highest == 0 ? 0 : BAR_WIDTH * Math.abs(reading.value()) / highest;
        boolean isOwn = measure.readings().indexOf(reading) == 0;
        appendText(body, MARGIN, top, "normal", reading.variant());
        body.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>%n",
                BAR_LEFT,
                top,
                width,
                BAR_HEIGHT,
                isOwn ? OWN_COLOUR : BASELINE_COLOUR));
        appendText(body, BAR_LEFT + (int) width + BAR_HEIGHT / 2, top, "normal", ResultTable.number(reading.value()));
        return top + LINE_HEIGHT;
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
