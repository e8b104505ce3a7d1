package org.hornbeamspread.control.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.hornbeamspread.core.misc.EventLog;

/** Keeps the recorded events, each as its fields and {@code event}. Thread-safe. */
final class RecordedEvents implements EventLog {
    private final List<Map<String, String>> lines = new ArrayList<>();
    private final Map<CompletableFuture<Map<String, String>>, Predicate<Map<String, String>>> waiting =
            new LinkedHashMap<>();

    @Override
    public synchronized void record(String event, Object... fields) {
        Map<String, String> line = new LinkedHashMap<>();
        line.put("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
        }
        lines.add(line);
        waiting.forEach((future, wanted) -> {
            if (wanted.test(line)) {
                future.complete(line);
            }
        });
    }

    synchronized List<Map<String, String>> of(String event) {
        return lines.stream().filter(line -> line.get("event").equals(event)).toList();
    }

    synchronized int size() {
        return lines.size();
    }

    /** The next recorded event that matches. */
    synchronized CompletableFuture<Map<String, String>> next(Predicate<Map<String, String>> wanted) {
        CompletableFuture<Map<String, String>> found = new CompletableFuture<>();
        waiting.put(found, wanted);
        return found;
    }
}
