package org.hornbeamspread.control.state;

import com.google.protobuf.ByteString;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.RegisterDatabases;
import org.hornbeamspread.protocol.schema.RegisteredDatabase;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.SetGroupTerms;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures the size of the state and the times to apply, snapshot and restore the state, by number of groups. Not part
 * of the test run; start it by name like LogBenchmark.
 */
final class StateSizeBenchmark {
    private static final int REPEATS = 30;
    private static final int DATABASES_PER_GROUP = 3;
    private static final double NS_PER_MS = 1e6;

    @ParameterizedTest
    @ValueSource(ints = {30, 300, 3_000, 6_333})
    void stateBySize(int groups) {
        ControlStateMachine machine = null;
        ControlCommand configuration = configuration(groups);
        ControlCommand databases = databases(groups);
        long[] bestNs = {Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE};
        for (int i = 0; i < REPEATS; i++) {
            machine = new ControlStateMachine();
            bestNs[0] = Math.min(bestNs[0], applyNs(machine, configuration));
            bestNs[1] = Math.min(bestNs[1], applyNs(machine, databases));
            bestNs[2] = Math.min(bestNs[2], applyNs(machine, terms(groups, 0)));
            long startNs = System.nanoTime();
            ByteString snapshot = machine.snapshot();
            long builtNs = System.nanoTime();
            new ControlStateMachine().restore(snapshot);
            bestNs[3] = Math.min(bestNs[3], builtNs - startNs);
            bestNs[4] = Math.min(bestNs[4], System.nanoTime() - builtNs);
        }
        print(groups, machine.state(), bestNs);
    }

    private static void print(int groups, ControlState state, long[] bestNs) {
        int databases = groups * DATABASES_PER_GROUP;
        int configurationBytes = state.getConfiguration().getSerializedSize();
        int termsBytes = ControlState.newBuilder()
                .addAllGroups(state.getGroupsList())
                .build()
                .getSerializedSize();
        int databasesBytes = ControlState.newBuilder()
                .addAllDatabases(state.getDatabasesList())
                .build()
                .getSerializedSize();
        System.out.printf(
                "| %d | %d | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f |%n",
                groups,
                databases,
                state.getSerializedSize(),
                (double) configurationBytes / groups,
                (double) termsBytes / groups,
                (double) databasesBytes / databases,
                bestNs[0] / NS_PER_MS,
                bestNs[1] / NS_PER_MS,
                bestNs[2] / NS_PER_MS,
                bestNs[3] / NS_PER_MS,
                bestNs[4] / NS_PER_MS);
    }

    private static long applyNs(ControlStateMachine machine, ControlCommand command) {
        ControlRecord record = ControlRecord.newBuilder().setCommand(command).build();
        long startNs = System.nanoTime();
        machine.apply(record);
        return System.nanoTime() - startNs;
    }

    private static ControlCommand configuration(int groups) {
        Configuration.Builder configuration = Configuration.newBuilder();
        for (String rank : new String[] {"urgent", "stock", "ledger"}) {
            configuration.addRanks(RankDefinition.newBuilder()
                    .setName(rank)
                    .setTargetMs(500)
                    .setWorth(10)
                    .setGuaranteedSharePercent(30));
        }
        ServiceDefinition.Builder service = ServiceDefinition.newBuilder()
                .setName("rental-core")
                .setStalenessAllowanceMs(2_000)
                .setDefaultTimeoutMs(1_000);
        for (int i = 0; i < groups; i++) {
            configuration.addGroups(GroupDefinition.newBuilder()
                    .setName(group(i))
                    .setDatabases(DATABASES_PER_GROUP)
                    .setSlotsPerDatabase(5)
                    .setConnectionsPerDatabase(35));
            service.addGroups(group(i));
        }
        configuration.addServices(service);
        return ControlCommand.newBuilder()
                .setReplaceConfiguration(ReplaceConfiguration.newBuilder().setConfiguration(configuration))
                .build();
    }

    private static ControlCommand databases(int groups) {
        RegisterDatabases.Builder databases = RegisterDatabases.newBuilder();
        for (int i = 0; i < groups * DATABASES_PER_GROUP; i++) {
            databases.addDatabases(RegisteredDatabase.newBuilder()
                    .setDatabaseId(database(i))
                    .setGroup(group(i / DATABASES_PER_GROUP))
                    .setIncarnation(1_764_800_000_000L + i)
                    .setTrusted(true));
        }
        return ControlCommand.newBuilder().setRegisterDatabases(databases).build();
    }

    private static ControlCommand terms(int groups, long expectedTerm) {
        SetGroupTerms.Builder terms = SetGroupTerms.newBuilder();
        for (int i = 0; i < groups; i++) {
            terms.addGroups(GroupTerm.newBuilder()
                    .setGroup(group(i))
                    .setExpectedTerm(expectedTerm)
                    .setTerm(expectedTerm + 1)
                    .setPrimaryId(database(i * DATABASES_PER_GROUP))
                    .setWritable(true));
        }
        return ControlCommand.newBuilder().setSetGroupTerms(terms).build();
    }

    private static String group(int number) {
        return String.format("rental-core-%04d", number);
    }

    private static String database(int number) {
        return String.format("%s-db%d", group(number / DATABASES_PER_GROUP), number % DATABASES_PER_GROUP);
    }
}
