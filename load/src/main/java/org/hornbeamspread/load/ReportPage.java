package org.hornbeamspread.load;

import java.util.List;
import java.util.function.ToLongFunction;

/** The report as one self-contained HTML page with plots. */
final class ReportPage {
    private static final String STYLE = "body{font:14px sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;"
            + "padding:1em;overflow:auto}svg text{font:10px sans-serif}.axis{fill:none;stroke:#888}"
            + ".fault{stroke:#c00;stroke-dasharray:4 3}";

    private ReportPage() {}

    /** The HTML text of the page. */
    static String render(LoadReport report, double faultAtSeconds) {
        StringBuilder page = new StringBuilder();
        LoadReport.Scenario scenario = report.scenario();
        String title =
                "hornbeamspread: " + scenario.user() + ", fault " + scenario.fault() + ", seed " + scenario.seed();
        page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(escape(title))
                .append("</h1><pre>")
                .append(escape(ReportTable.render(report).strip()))
                .append("</pre>");
        for (RankReport rank : report.ranks()) {
            page.append("<h2>").append(escape(rank.name())).append(", requests per second</h2>");
            page.append(SvgChart.render(
                    List.of(
                            line("offered", "#999", rank, RankReport.SecondCounts::offered),
                            line("served", "#2a7", rank, RankReport.SecondCounts::served),
                            line("refused", "#c60", rank, RankReport.SecondCounts::refused)),
                    faultAtSeconds));
        }
        page.append("<p>The dashed line marks the fault. ")
                .append("Refused requests are those that provably did not run.</p>");
        return page.append("</body></html>\n").toString();
    }

    private static SvgChart.Line line(
            String label, String colour, RankReport rank, ToLongFunction<RankReport.SecondCounts> value) {
        return new SvgChart.Line(
                label,
                colour,
                rank.seconds().stream()
                        .map(second -> (double) value.applyAsLong(second))
                        .toList());
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
