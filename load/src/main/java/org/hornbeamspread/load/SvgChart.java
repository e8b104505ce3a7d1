package org.hornbeamspread.load;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A line chart over the seconds of a run, as self-contained inline SVG. */
final class SvgChart {
    private static final int WIDTH_PIXELS = 720;
    private static final int HEIGHT_PIXELS = 180;
    private static final int MARGIN_PIXELS = 36;
    private static final int LABELLED_SECONDS = 6;

    private final StringBuilder svg = new StringBuilder();
    private final int seconds;
    private final double maxValue;

    private SvgChart(int seconds, double maxValue) {
        this.seconds = seconds;
        this.maxValue = maxValue;
    }

    /**
     * Renders the lines.
     *
     * @param faultAtSeconds the time to mark as the fault; negative for no mark
     */
    static String render(List<Line> lines, double faultAtSeconds) {
        int seconds =
                lines.stream().mapToInt(line -> line.values().size()).max().orElse(1);
        double maxValue = lines.stream()
                .flatMap(line -> line.values().stream())
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(1);
        SvgChart chart = new SvgChart(Math.max(2, seconds), Math.max(1, maxValue));
        chart.appendAxes();
        if (faultAtSeconds >= 0) {
            chart.appendFaultMark(faultAtSeconds);
        }
        for (int i = 0; i < lines.size(); i++) {
            chart.appendLine(lines.get(i), i);
        }
        return chart.svg.append("</svg>").toString();
    }

    private void appendAxes() {
        append(
                "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\">",
                WIDTH_PIXELS, HEIGHT_PIXELS, WIDTH_PIXELS, HEIGHT_PIXELS);
        append("<path d=\"M%.1f %.1f V%.1f H%.1f\" class=\"axis\"/>", x(0), y(maxValue), y(0), x(seconds - 1));
        append(
                "<text x=\"2\" y=\"%.1f\">%.0f</text><text x=\"2\" y=\"%.1f\">0</text>",
                y(maxValue) + 4, maxValue, y(0));
        int step = Math.max(1, seconds / LABELLED_SECONDS);
        for (int second = 0; second < seconds; second += step) {
            append("<text x=\"%.1f\" y=\"%d\">%d s</text>", x(second) - 6, HEIGHT_PIXELS - 14, second);
        }
    }

    private void appendFaultMark(double atSeconds) {
        append("<path d=\"M%.1f %.1f V%.1f\" class=\"fault\"/>", x(atSeconds), y(maxValue), y(0));
    }

    private void appendLine(Line line, int index) {
        String points = IntStream.range(0, line.values().size())
                .mapToObj(i -> String.format(
                        Locale.ROOT, "%.1f,%.1f", x(i), y(line.values().get(i))))
                .collect(Collectors.joining(" "));
        append("<polyline points=\"%s\" stroke=\"%s\" fill=\"none\" stroke-width=\"1.5\"/>", points, line.colour());
        append(
                "<text x=\"%d\" y=\"12\" fill=\"%s\">%s</text>",
                MARGIN_PIXELS + 12 + index * 110, line.colour(), line.label());
    }

    private double x(double second) {
        return MARGIN_PIXELS + second * (WIDTH_PIXELS - 2.0 * MARGIN_PIXELS) / (seconds - 1);
    }

    private double y(double value) {
        return HEIGHT_PIXELS - MARGIN_PIXELS - value * (HEIGHT_PIXELS - 2.0 * MARGIN_PIXELS + 8) / maxValue;
    }

    private void append(String format, Object... values) {
        svg.append(String.format(Locale.ROOT, format, values));
    }

    /**
     * One line of the chart.
     *
     * @param label the legend, without markup
     * @param colour a CSS colour
     * @param values one value per second
     */
    record Line(String label, String colour, List<Double> values) {
        Line {
            values = List.copyOf(values);
        }
    }
}
