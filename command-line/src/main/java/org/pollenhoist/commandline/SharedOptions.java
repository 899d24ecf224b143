package org.pollenhoist.commandline;

import io.netty.util.NetUtil;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.operator.Pause;
import org.pollenhoist.operator.Rollout;
import org.pollenhoist.operator.VmStatusClient;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.HttpPlatformService;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.PlatformService;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The options that every command takes, and what they stand for. */
final class SharedOptions {

    private static final int MAXIMUM_PORT = 65_535;

    @Option(
            names = "--platform",
            scope = ScopeType.INHERIT,
            paramLabel = "IP:PORT",
            defaultValue = "${env:POLLENHOIST_PLATFORM}",
            description = "The platform's key-value service (default: $POLLENHOIST_PLATFORM).")
    private String platform;

    @Option(
            names = "--timeout-milliseconds",
            scope = ScopeType.INHERIT,
            paramLabel = "N",
            defaultValue = "2000",
            description = "How long each call may take (default: ${DEFAULT-VALUE}).")
    private int timeoutMilliseconds;

    @Option(
            names = "--wait-seconds",
            scope = ScopeType.INHERIT,
            paramLabel = "N",
            defaultValue = "5",
            description = "How long to wait until a change is in force on all VMs (default: ${DEFAULT-VALUE}).")
    private int waitSeconds;

    @Option(
            names = "--output",
            scope = ScopeType.INHERIT,
            paramLabel = "json|table",
            defaultValue = "table",
            description = "How to print the answer (default: ${DEFAULT-VALUE}).")
    private OutputFormat output;

    OutputFormat output() {
        return output;
    }

    void print(CommandSpec spec, Report report) {
        report.print(spec.commandLine().getOut(), output);
    }

    HttpPlatformService connect(CommandSpec spec) {
        return HttpPlatformService.at(platformAddress(spec), Duration.ofMillis(timeoutMilliseconds));
    }

    private InetSocketAddress platformAddress(CommandSpec spec) {
        int colon = platform == null ? -1 : platform.lastIndexOf(':');
        if (colon > 0 && platform.substring(colon + 1).matches("[0-9]{1,5}")) {
            byte[] address = NetUtil.createByteArrayFromIpAddressString(
                    platform.substring(0, colon).replaceAll("[\\[\\]]", ""));
            int port = Integer.parseInt(platform.substring(colon + 1));
            if (address != null && port >= 1 && port <= MAXIMUM_PORT) {
                return new InetSocketAddress(
                        NetUtil.createInetAddressFromIpAddressString(platform.substring(0, colon)), port);
            }
        }
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "--platform is " + (platform == null ? "missing" : "'" + platform + "'")
                        + ", expected IP:PORT, for example 127.0.0.1:2379");
    }

    /** The entry VMs in the platform's list, which also names the upstreams' VMs. */
    List<ListedVm> entryVms(PlatformService service) {
        Set<String> upstreams = ConfigurationStore.over(service)
                .fetchLatest()
                .map(InstalledConfiguration::configuration)
                .map(configuration -> configuration.upstreams().keySet().stream()
                        .map(UpstreamName::value)
                        .collect(Collectors.toSet()))
                .orElse(Set.of());
        return service.listVms().stream()
                .filter(vm -> !upstreams.contains(vm.name()))
                .toList();
    }

    List<VmStatusClient.Answer> ask(List<ListedVm> vms) {
        try (VmStatusClient client = VmStatusClient.withTimeout(Duration.ofMillis(timeoutMilliseconds))) {
            return client.ask(vms);
        }
    }

    /** Waits for a change, says where it is in force and where not yet, and returns the exit code. */
    int followRollout(CommandSpec spec, PlatformService service, long revision) {
        List<ListedVm> vms = entryVms(service);
        List<VmStatusClient.Answer> answers;
        try (VmStatusClient client = VmStatusClient.withTimeout(Duration.ofMillis(timeoutMilliseconds))) {
            answers = Rollout.await(revision, Duration.ofSeconds(waitSeconds), () -> client.ask(vms), Pause.sleeping());
        }
        PrintWriter errors = spec.commandLine().getErr();
        if (answers.isEmpty()) {
            errors.println("revision " + revision + " is accepted; the platform lists no entry VM to ask");
            errors.flush();
            return 0;
        }
        boolean isEverywhere = Rollout.isEverywhere(revision, answers);
        errors.println("revision " + revision + " is in force on " + inForce(answers, revision) + " of "
                + answers.size() + " VMs" + (isEverywhere ? "" : ", not yet on " + behind(answers, revision)));
        errors.flush();
        return isEverywhere ? 0 : ExitCodes.NOT_EVERYWHERE;
    }

    private static long inForce(List<VmStatusClient.Answer> answers, long revision) {
        return answers.stream().filter(answer -> answer.hasInForce(revision)).count();
    }

    private static String behind(List<VmStatusClient.Answer> answers, long revision) {
        return answers.stream()
                .filter(answer -> !answer.hasInForce(revision))
                .map(answer -> answer.vm().name() + " (" + state(answer) + ")")
                .collect(Collectors.joining(", "));
    }

    private static String state(VmStatusClient.Answer answer) {
        return answer.status().map(status -> "revision " + status.revision()).orElse("no answer");
    }

    Optional<InstalledConfiguration> latest(PlatformService service) {
        return ConfigurationStore.over(service).fetchLatest();
    }
}
