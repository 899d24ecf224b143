package org.pollenhoist.operator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.configuration.Difference;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.InMemoryPlatform;
import org.pollenhoist.platform.StoredValue;

/** What operators were told, to be checked against all that the store has ever held. */
final class CommitHistory {

    private static final TeamName TEAM = TeamName.of("crews");

    /** What an operator was told of a change. */
    enum Told {
        ACCEPTED,
        CONFLICT,
        UNKNOWN,
        UNAVAILABLE,
        NOT_FOUND
    }

    /**
     * One change of an operator.
     *
     * @param mark what the change puts into the configuration: a rate or a key's identifier
     * @param isRemoval whether the change takes the mark away
     * @param told what the operator was told
     * @param revision the accepted revision, 0 for none
     * @param expectedRevision the revision that the operator asked for, 0 for any
     * @param revisionBefore the store's revision when the change began
     * @param revisionAfter the store's revision when the operator was told
     */
    record Operation(
            String mark,
            boolean isRemoval,
            Told told,
            long revision,
            long expectedRevision,
            long revisionBefore,
            long revisionAfter) {}

    private final List<Operation> operations = new ArrayList<>();

    synchronized void add(Operation operation) {
        operations.add(operation);
    }

    synchronized List<Operation> operations() {
        return List.copyOf(operations);
    }

    /** Returns each rule that the history breaks. */
    List<String> violations(InMemoryPlatform platform) {
        List<String> violations = new ArrayList<>();
        List<Configuration> revisions = revisions(platform, violations);
        checkParts(platform, violations);
        checkSteps(revisions, violations);
        Set<Long> won = new HashSet<>();
        for (Operation operation : operations()) {
            check(operation, revisions, won, violations);
        }
        return violations;
    }

    private static List<Configuration> revisions(InMemoryPlatform platform, List<String> violations) {
        ConfigurationStore everything = ConfigurationStore.over(platform.withRemovedValues());
        List<Configuration> revisions = new ArrayList<>();
        for (StoredValue value : platform.historyOf(ConfigurationStore.HEAD_KEY)) {
            ConfigurationHead head = ConfigurationHead.decode(value.content());
            if (head.revision() != revisions.size() + 1) {
                violations.add("revision " + head.revision() + " follows " + revisions.size());
            }
            revisions.add(everything.fetch(head).orElseThrow().configuration());
        }
        return revisions;
    }

    /** At no time may the head name a part that is not there. */
    private static void checkParts(InMemoryPlatform platform, List<String> violations) {
        for (Map<String, StoredValue> snapshot : platform.snapshots()) {
            StoredValue stored = snapshot.get(ConfigurationStore.HEAD_KEY);
            if (stored != null) {
                ConfigurationHead head = ConfigurationHead.decode(stored.content());
                List<String> parts = new ArrayList<>(head.rulesParts());
                parts.addAll(head.keyParts());
                parts.stream()
                        .filter(part -> !snapshot.containsKey("configuration/parts/" + part))
                        .forEach(part -> violations.add("revision " + head.revision() + " lacks part " + part));
            }
        }
    }

    /** Each revision is its predecessor with one change, so that no accepted change is lost or made twice. */
    private static void checkSteps(List<Configuration> revisions, List<String> violations) {
        for (int index = 1; index < revisions.size(); index++) {
            List<Difference> differences = Difference.between(revisions.get(index - 1), revisions.get(index));
            if (differences.size() != 1) {
                violations.add("revision " + (index + 1) + " differs from the one before by " + differences);
            }
        }
    }

    private static void check(
            Operation operation, List<Configuration> revisions, Set<Long> won, List<String> violations) {
        switch (operation.told()) {
            case ACCEPTED -> checkAccepted(operation, revisions, won, violations);
            case CONFLICT -> checkConflict(operation, revisions, violations);
            case UNAVAILABLE -> checkNoTrace(operation, revisions, violations);
            case NOT_FOUND -> violations.add("false error: " + operation);
            case UNKNOWN -> {
                // Both outcomes are allowed.
            }
        }
    }

    private static void checkAccepted(
            Operation operation, List<Configuration> revisions, Set<Long> won, List<String> violations) {
        int index = (int) operation.revision() - 1;
        boolean isThere = index < revisions.size()
                && marks(revisions.get(index)).contains(operation.mark()) != operation.isRemoval();
        if (!isThere) {
            violations.add("accepted but absent: " + operation);
        }
        if (!won.add(operation.revision())) {
            violations.add("two winners: " + operation);
        }
        if (operation.expectedRevision() > 0 && operation.revision() != operation.expectedRevision() + 1) {
            violations.add("accepted on another revision: " + operation);
        }
    }

    private static void checkConflict(Operation operation, List<Configuration> revisions, List<String> violations) {
        boolean isTrue = operation.revisionAfter() > operation.revisionBefore()
                || (operation.expectedRevision() > 0 && operation.expectedRevision() < operation.revisionBefore());
        if (!isTrue) {
            violations.add("conflict without another change: " + operation);
        }
        checkNoTrace(operation, revisions, violations);
    }

    private static void checkNoTrace(Operation operation, List<Configuration> revisions, List<String> violations) {
        boolean isRefusedAddition = !operation.isRemoval();
        if (isRefusedAddition && revisions.stream().anyMatch(one -> marks(one).contains(operation.mark()))) {
            violations.add("refused but present: " + operation);
        }
    }

    private static Set<String> marks(Configuration configuration) {
        Set<String> marks = configuration.keys().values().stream()
                .map(key -> key.identifier())
                .collect(Collectors.toSet());
        marks.add("rate " + (long) configuration.teams().get(TEAM).tokensPerSecond());
        return marks;
    }
}
