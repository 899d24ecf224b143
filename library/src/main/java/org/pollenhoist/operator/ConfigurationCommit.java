package org.pollenhoist.operator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.ConfigurationCodec;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.configuration.Difference;
import org.pollenhoist.configuration.Digests;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.PlatformUnavailableException;
import org.pollenhoist.platform.WriteOutcome;

/**
 * Commits operators' changes by compare-and-swap on the head record. Of several operators that race for a revision
 * exactly one wins.
 *
 * <p>A lost answer is resolved by reading back: the head remembers the identifiers of the latest changes. The same
 * write is sent again only while the head still has the version that it expects, so that of both at most one can take
 * effect.
 */
public final class ConfigurationCommit {

    private static final DecisionLog LOG = DecisionLog.of("configuration");
    private static final int TRIES_TO_RESOLVE = 20;
    private static final int TRIES_TO_REBASE = 32;
    private static final Duration PAUSE_TO_RESOLVE = Duration.ofMillis(250);
    private static final Duration PAUSE_TO_REBASE = Duration.ofMillis(10);

    private final PlatformService platform;
    private final ConfigurationStore store;
    private final Pause pause;

    /**
     * Creates the commits over a platform's service.
     *
     * @param platform the service
     * @param pause waits between two tries
     */
    public ConfigurationCommit(PlatformService platform, Pause pause) {
        this.platform = platform;
        this.store = ConfigurationStore.over(platform);
        this.pause = pause;
    }

    /** What a change starts from. */
    private record Base(Optional<ConfigurationHead> head, Optional<InstalledConfiguration> installed) {

        long revision() {
            return head.map(ConfigurationHead::revision).orElse(0L);
        }

        List<ConfigurationHead.PastChange> recentChanges() {
            return head.map(ConfigurationHead::recentChanges).orElse(List.of());
        }

        Optional<Configuration> configuration() {
            return installed.map(InstalledConfiguration::configuration);
        }
    }

    /**
     * Replaces everything but the keys. Keys of teams that are gone go too.
     *
     * @param rules the new configuration; its keys are ignored
     * @param expectedRevision the revision that the operator started from; empty for the latest
     * @return the accepted change
     * @throws ChangeRejectedException with {@code REVISION_CONFLICT} where another change came first, or with
     *     {@code OUTCOME_UNKNOWN} where the platform does not tell
     */
    public Committed apply(Configuration rules, OptionalLong expectedRevision) {
        Base base = latestBase();
        if (expectedRevision.isPresent() && expectedRevision.getAsLong() != base.revision()) {
            throw ChangeRejectedException.revisionConflict(expectedRevision.getAsLong(), base.revision(), List.of());
        }
        Map<String, KeyRecord> keys =
                base.configuration().map(Configuration::keys).orElse(Map.of());
        Configuration changed = withKeys(rules, keys);
        Optional<Committed> committed = tryCommit(base, changed);
        return committed.orElseThrow(() -> lostRace(base));
    }

    /**
     * Puts a key in force.
     *
     * @param key the key's record
     * @return the accepted change
     */
    public Committed giveKey(KeyRecord key) {
        return changeKeys(configuration -> {
            if (!configuration.teams().containsKey(key.team())) {
                throw ChangeRejectedException.unknownTeam(key.team());
            }
            Map<String, KeyRecord> keys = new HashMap<>(configuration.keys());
            keys.put(key.digest(), key);
            return withKeys(configuration, keys);
        });
    }

    /**
     * Withdraws a key.
     *
     * @param identifier the key's identifier
     * @return the accepted change
     */
    public Committed withdrawKey(String identifier) {
        return changeKeys(configuration -> {
            Map<String, KeyRecord> keys = new HashMap<>(configuration.keys());
            if (!keys.values().removeIf(key -> key.identifier().equals(identifier))) {
                throw ChangeRejectedException.unknownKey(identifier);
            }
            return withKeys(configuration, keys);
        });
    }

    /** Key changes go with every other change, so one that lost a race is made again on the new revision. */
    private Committed changeKeys(UnaryOperator<Configuration> change) {
        for (int attempt = 0; attempt < TRIES_TO_REBASE; attempt++) {
            Base base = latestBase();
            Configuration current = base.configuration().orElseThrow(ChangeRejectedException::noConfiguration);
            Optional<Committed> committed = tryCommit(base, change.apply(current));
            if (committed.isPresent()) {
                return committed.get();
            }
            pause.pause(PAUSE_TO_REBASE.multipliedBy(1 + attempt));
        }
        throw lostRace(latestBase());
    }

    private Base latestBase() {
        for (int attempt = 0; attempt < TRIES_TO_RESOLVE; attempt++) {
            Optional<ConfigurationHead> head = store.readConfirmedHead();
            if (head.isEmpty()) {
                return new Base(head, Optional.empty());
            }
            Optional<InstalledConfiguration> installed = store.fetch(head.get());
            if (installed.isPresent()) {
                return new Base(head, installed);
            }
            pause.pause(PAUSE_TO_REBASE);
        }
        throw PlatformUnavailableException.noAnswer("the parts of the head", "parts are missing");
    }

    private Optional<Committed> tryCommit(Base base, Configuration changed) {
        String changeIdentifier = UUID.randomUUID().toString();
        byte[] rules = ConfigurationCodec.encodeRules(changed);
        byte[] keys = ConfigurationCodec.encodeKeys(changed);
        boolean areRulesSame = base.configuration()
                .map(ConfigurationCodec::encodeRules)
                .filter(earlier -> Arrays.equals(earlier, rules))
                .isPresent();
        List<String> rulesParts =
                areRulesSame ? base.head().orElseThrow().rulesParts() : store.writeParts(changeIdentifier, rules);
        List<String> keyParts = store.writeParts(changeIdentifier, keys);
        ConfigurationHead head = ConfigurationHead.after(
                base.recentChanges(),
                base.revision() + 1,
                changeIdentifier,
                Digests.sha256Text(ConfigurationCodec.join(rules, keys)),
                rulesParts,
                keyParts);
        boolean isAccepted = swapHead(head);
        log(head, isAccepted);
        removeUnusedParts(base, head, isAccepted);
        return isAccepted ? Optional.of(committed(base, changed, head)) : Optional.empty();
    }

    private boolean swapHead(ConfigurationHead head) {
        WriteOutcome outcome = sendHead(head);
        for (int attempt = 0; attempt < TRIES_TO_RESOLVE; attempt++) {
            switch (outcome) {
                case WriteOutcome.Written written -> {
                    return true;
                }
                case WriteOutcome.Conflict conflict -> {
                    Optional<Boolean> isAccepted = wasAccepted(head);
                    if (isAccepted.isPresent()) {
                        return isAccepted.get();
                    }
                }
                case WriteOutcome.Unknown unknown -> {
                    pause.pause(PAUSE_TO_RESOLVE);
                    outcome = resolve(head, unknown);
                    continue;
                }
            }
            pause.pause(PAUSE_TO_RESOLVE);
        }
        throw ChangeRejectedException.outcomeUnknown(head.changeIdentifier(), head.revision(), String.valueOf(outcome));
    }

    private WriteOutcome sendHead(ConfigurationHead head) {
        return platform.compareAndSwap(
                ConfigurationStore.HEAD_KEY, head.revision() - 1, head.encode(), Optional.empty());
    }

    /** Looks before it sends again; the head's version decides whether the first write can still take effect. */
    private WriteOutcome resolve(ConfigurationHead head, WriteOutcome.Unknown unknown) {
        try {
            long confirmed = store.confirmedRevision();
            return confirmed < head.revision() ? sendHead(head) : new WriteOutcome.Conflict(confirmed);
        } catch (PlatformUnavailableException exception) {
            return unknown;
        }
    }

    private Optional<Boolean> wasAccepted(ConfigurationHead head) {
        try {
            Optional<ConfigurationHead> latest = store.readConfirmedHead();
            if (latest.isEmpty() || latest.get().revision() < head.revision()) {
                return Optional.empty();
            }
            return outcomeIn(latest.get(), head);
        } catch (PlatformUnavailableException exception) {
            return Optional.empty();
        }
    }

    private static Optional<Boolean> outcomeIn(ConfigurationHead latest, ConfigurationHead head) {
        return latest.recentChanges().stream()
                .filter(change -> change.revision() == head.revision())
                .findFirst()
                .map(change -> change.changeIdentifier().equals(head.changeIdentifier()));
    }

    private ChangeRejectedException lostRace(Base base) {
        Base latest = latestBase();
        List<Difference> changed = base.configuration()
                .flatMap(earlier -> latest.configuration().map(later -> Difference.between(earlier, later)))
                .orElse(List.of());
        return ChangeRejectedException.revisionConflict(base.revision(), latest.revision(), changed);
    }

    private static Committed committed(Base base, Configuration changed, ConfigurationHead head) {
        List<Difference> differences = base.configuration()
                .map(earlier -> Difference.between(earlier, changed))
                .orElse(List.of());
        return new Committed(head.revision(), head.changeIdentifier(), differences);
    }

    private void removeUnusedParts(Base base, ConfigurationHead head, boolean isAccepted) {
        List<String> earlier = base.head().map(ConfigurationCommit::parts).orElse(List.of());
        List<String> unused = new ArrayList<>(isAccepted ? earlier : parts(head));
        unused.removeAll(isAccepted ? parts(head) : earlier);
        try {
            store.removeParts(unused);
        } catch (PollenhoistException exception) {
            LOG.event("keep_unused_parts", "count", unused.size(), "reason", exception.getMessage());
        }
    }

    private static List<String> parts(ConfigurationHead head) {
        List<String> parts = new ArrayList<>(head.rulesParts());
        parts.addAll(head.keyParts());
        return parts;
    }

    private static Configuration withKeys(Configuration rules, Map<String, KeyRecord> keys) {
        Map<String, KeyRecord> kept = keys.values().stream()
                .filter(key -> rules.teams().containsKey(key.team()))
                .collect(Collectors.toMap(KeyRecord::digest, key -> key));
        return new Configuration(
                rules.teams(),
                rules.profiles(),
                rules.models(),
                rules.routes(),
                rules.upstreams(),
                rules.weightStore(),
                kept);
    }

    private static void log(ConfigurationHead head, boolean isAccepted) {
        LOG.event(
                "commit",
                "revision",
                head.revision(),
                "change",
                head.changeIdentifier(),
                "accepted",
                isAccepted,
                "reason",
                isAccepted ? "head_swapped" : "other_change_first");
    }
}
