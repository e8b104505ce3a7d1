package org.hornbeamspread.ctl;

import java.util.ArrayList;
import java.util.List;

/** A table of left-aligned text columns with headings. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row; each cell is converted to a string. */
    TextTable row(Object... cells) {
        List<String> texts = new ArrayList<>();
        for (Object cell : cells) {
            texts.add(String.valueOf(cell));
        }
        rows.add(texts);
        return this;
    }

    /** The lines of the table, each followed by a line break. */
    String render() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                String cell = row.get(i);
                line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
