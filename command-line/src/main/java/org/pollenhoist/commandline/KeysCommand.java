package org.pollenhoist.commandline;

import java.security.SecureRandom;
import java.util.Comparator;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.configuration.TeamKey;
import org.pollenhoist.operator.Committed;
import org.pollenhoist.operator.ConfigurationCommit;
import org.pollenhoist.operator.Pause;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Gives, withdraws and lists teams' keys. */
@Command(name = "keys", description = "Gives, withdraws and lists teams' keys.")
final class KeysCommand implements Runnable {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "give, withdraw or list is missing");
    }

    @Command(
            name = "give",
            description = "Makes a new key of a team and shows it this once. Waits and says where it is in force.")
    int give(@Parameters(paramLabel = "TEAM", description = "The team's name.") String team) {
        TeamName teamName = TeamName.of(team);
        TeamKey key = TeamKey.generate(new SecureRandom());
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Committed committed = commit(platform).giveKey(key.record(teamName));
            print(Report.withColumns("revision", "team", "identifier", "key")
                    .row(committed.revision(), team, key.identifier(), key.reveal()));
            return parent.options().followRollout(spec, platform, committed.revision());
        }
    }

    @Command(
            name = "withdraw",
            description = "Withdraws a key: new requests and running ones end. Waits and says where it is in force.")
    int withdraw(@Parameters(paramLabel = "ID", description = "The key's identifier.") String identifier) {
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Committed committed = commit(platform).withdrawKey(identifier);
            print(Report.withColumns("revision", "identifier", "change")
                    .row(committed.revision(), identifier, "withdrawn"));
            return parent.options().followRollout(spec, platform, committed.revision());
        }
    }

    @Command(name = "list", description = "Lists the keys in force by identifier.")
    int list() {
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Report report = Report.withColumns("team", "identifier");
            parent.options()
                    .latest(platform)
                    .ifPresent(latest -> latest.configuration().keys().values().stream()
                            .sorted(Comparator.comparing(KeyRecord::team).thenComparing(KeyRecord::identifier))
                            .forEach(key -> report.row(key.team(), key.identifier())));
            print(report);
            return 0;
        }
    }

    private static ConfigurationCommit commit(HttpPlatformService platform) {
        return new ConfigurationCommit(platform, Pause.sleeping());
    }

    private void print(Report report) {
        parent.options().print(spec, report);
    }
}
