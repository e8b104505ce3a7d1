package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.CharMatcher;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.sql.SqlStatement.Execute;
import org.hornbeamspread.core.sql.SqlStatement.Prepare;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.api.Test;

/**
 * Two definitions had one name, which was derived by replacing characters: a session on a connection where another one had prepared
 * its statement executed the other's definition (ShapesCase of the review).
 */
final class PreparedNameTest {
    private static final int MAX_NAME_LENGTH = 80;

    @Test
    void sessionsWithDifferentDefinitionsExecuteDifferentNames() {
        EngineHarness harness = new EngineHarness();
        List<String> names = new ArrayList<>();
        for (String text : List.of("q 2", "q_2")) {
            Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                    .send("p" + text, new Prepare("s1", new PreparedDefinition(true, text)));
            client.send("w" + text, new Execute("s1", "item", Optional.of("5")));
            harness.run(100);
            assertThat(client.lastReply().isSuccess()).isTrue();
        }
        harness.primary.executedStatements.forEach(executed -> names.add(((Execute) executed.statement()).name()));

        assertThat(names).hasSize(2);
        assertThat(names).containsNoDuplicates();
    }

    /** All texts of up to three characters that separate, escape or end something, and long ones that differ in one character. */
    @Test
    void eachDefinitionHasAShortNameOfItsOwn() {
        List<String> texts = new ArrayList<>(List.of(""));
        for (int i = 0; texts.get(i).length() < 3; i++) {
            for (char next : " _%\r\n\t.20h\u0000\u00ff".toCharArray()) {
                texts.add(texts.get(i) + next);
            }
        }
        for (int length = 20; length < 90; length++) {
            texts.add("x".repeat(length));
            texts.add("x".repeat(length - 1) + " ");
            texts.add("x".repeat(length - 1) + "_");
        }
        List<String> names = new ArrayList<>();
        for (String text : texts) {
            names.add(PooledConnection.preparedName(new PreparedDefinition(true, text)));
            names.add(PooledConnection.preparedName(new PreparedDefinition(false, text)));
        }

        assertThat(names).containsNoDuplicates();
        for (String name : names) {
            assertThat(name.length()).isAtMost(MAX_NAME_LENGTH);
            assertThat(CharMatcher.inRange('!', '~').matchesAllOf(name)).isTrue();
        }
    }
}
