package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Row;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementResult;

/**
 * Executes the statements documented in the schema. Execution is deterministic: equal rows and statements give equal
 * results.
 */
final class StatementRunner {
    private static final long MAX_SLEEP_MS = 60_000;

    private StatementRunner() {}

    /** Whether a statement changes rows. */
    static boolean isWrite(Statement statement) {
        return switch (statement.getName()) {
            case "row.put", "row.insert", "row.add" -> true;
            default -> false;
        };
    }

    /** Time for which a statement holds its slot in addition to the configured time. Fails with INVALID_STATEMENT. */
    static long sleepMs(Statement statement) {
        if (!"sleep".equals(statement.getName())) {
            return 0;
        }
        return Math.max(0, Math.min(MAX_SLEEP_MS, integerArgument(statement, 0)));
    }

    /**
     * Executes statements in order. A failure with INVALID_STATEMENT or STATEMENT_CONFLICT may leave rows partly
     * changed.
     */
    static List<StatementResult> runAll(Rows rows, List<Statement> statements) {
        List<StatementResult> results = new ArrayList<>(statements.size());
        for (Statement statement : statements) {
            results.add(run(rows, statement));
        }
        return results;
    }

    private static StatementResult run(Rows rows, Statement statement) {
        return switch (statement.getName()) {
            case "row.get" -> get(rows, statement);
            case "row.put" -> put(rows, statement);
            case "row.insert" -> insert(rows, statement);
            case "row.add" -> add(rows, statement);
            case "row.scan" -> scan(rows, statement);
            case "row.count" -> count(rows, statement);
            case "sleep" -> sleep(statement);
            default -> throw invalidStatement(statement, "unknown statement name");
        };
    }

    private static StatementResult get(Rows rows, Statement statement) {
        checkArgumentCount(statement, 2);
        StatementResult.Builder result = StatementResult.newBuilder();
        rows.get(argument(statement, 0), argument(statement, 1)).ifPresent(value -> result.addRows(row(value)));
        return result.build();
    }

    private static StatementResult put(Rows rows, Statement statement) {
        checkArgumentCount(statement, 3);
        rows.put(argument(statement, 0), argument(statement, 1), argument(statement, 2));
        return StatementResult.newBuilder().setAffectedRows(1).build();
    }

    private static StatementResult insert(Rows rows, Statement statement) {
        checkArgumentCount(statement, 3);
        String table = argument(statement, 0);
        String key = argument(statement, 1);
        if (rows.get(table, key).isPresent()) {
            throw new FailureException(FailureType.STATEMENT_CONFLICT, table + " " + key + " already exists");
        }
        rows.put(table, key, argument(statement, 2));
        return StatementResult.newBuilder().setAffectedRows(1).build();
    }

    private static StatementResult add(Rows rows, Statement statement) {
        checkArgumentCount(statement, 3);
        String table = argument(statement, 0);
        String key = argument(statement, 1);
        String before = rows.get(table, key).orElse("0");
        String after = sum(statement, before);
        rows.put(table, key, after);
        return StatementResult.newBuilder()
                .addRows(row(after))
                .setAffectedRows(1)
                .build();
    }

    private static String sum(Statement statement, String before) {
        try {
            return Long.toString(Math.addExact(Long.parseLong(before), integerArgument(statement, 2)));
        } catch (NumberFormatException | ArithmeticException e) {
            throw invalidStatement(statement, "the value of the row is not an integer, or the sum overflows");
        }
    }

    private static StatementResult scan(Rows rows, Statement statement) {
        checkArgumentCount(statement, 3);
        SortedMap<String, String> found = rows.withPrefix(argument(statement, 0), argument(statement, 1));
        StatementResult.Builder result = StatementResult.newBuilder();
        found.entrySet().stream()
                .limit(Math.max(0, integerArgument(statement, 2)))
                .forEach(entry -> result.addRows(row(entry.getKey(), entry.getValue())));
        return result.build();
    }

    private static StatementResult count(Rows rows, Statement statement) {
        checkArgumentCount(statement, 2);
        int found =
                rows.withPrefix(argument(statement, 0), argument(statement, 1)).size();
        return StatementResult.newBuilder()
                .addRows(row(Integer.toString(found)))
                .build();
    }

    private static StatementResult sleep(Statement statement) {
        checkArgumentCount(statement, 1);
        integerArgument(statement, 0);
        return StatementResult.getDefaultInstance();
    }

    private static Row row(String... columns) {
        return Row.newBuilder().addAllColumns(List.of(columns)).build();
    }

    private static void checkArgumentCount(Statement statement, int arguments) {
        if (statement.getArgumentsCount() != arguments) {
            throw invalidStatement(statement, arguments + " arguments expected");
        }
    }

    private static String argument(Statement statement, int index) {
        return statement.getArguments(index);
    }

    private static long integerArgument(Statement statement, int index) {
        try {
            return Long.parseLong(statement.getArguments(index));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw invalidStatement(statement, "argument " + index + " is not an integer");
        }
    }

    private static FailureException invalidStatement(Statement statement, String reason) {
        return new FailureException(FailureType.INVALID_STATEMENT, statement.getName() + ": " + reason);
    }
}
