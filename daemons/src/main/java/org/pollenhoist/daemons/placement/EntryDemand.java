package org.pollenhoist.daemons.placement;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.PlatformService;

/**
 * Reads from the metrics of a failure domain's entry VMs how many sequences run or wait for each model. Used by one
 * thread.
 */
final class EntryDemand {

    private static final DecisionLog LOG = DecisionLog.of("placement");
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final Pattern SAMPLE =
            Pattern.compile("^pollenhoist_model_sequences\\{model=\"([^\"]+)\"\\} ([0-9.eE+-]+)$", Pattern.MULTILINE);

    private final PlatformService platform;
    private final FailureDomain domain;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private List<ListedVm> listed = List.of();
    private MonotonicTime listAt = MonotonicTime.read();

    EntryDemand(PlatformService platform, FailureDomain domain) {
        this.platform = platform;
        this.domain = domain;
    }

    Map<ModelName, Double> measure(MonotonicTime now) {
        if (!now.isBefore(listAt)) {
            listAt = now.plus(LIST_INTERVAL);
            try {
                listed = platform.listVms();
            } catch (PollenhoistException exception) {
                LOG.event("vms_unlisted", "domain", domain, "reason", exception.getMessage());
            }
        }
        Map<ModelName, Double> demand = new HashMap<>();
        for (ListedVm vm : listed) {
            if (vm.failureDomain().equals(domain) && !vm.isLeaving()) {
                parse(metrics(vm)).forEach((model, sequences) -> demand.merge(model, sequences, Double::sum));
            }
        }
        return demand;
    }

    private String metrics(ListedVm vm) {
        URI uri = URI.create("http://" + vm.address() + ":" + vm.port() + "/metrics");
        try {
            HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? response.body() : "";
        } catch (IOException exception) {
            LOG.event("demand_unread", "vm", vm.name(), "reason", exception);
            return "";
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    static Map<ModelName, Double> parse(String exposition) {
        Map<ModelName, Double> demand = new HashMap<>();
        Matcher matcher = SAMPLE.matcher(exposition);
        while (matcher.find()) {
            demand.put(ModelName.of(matcher.group(1)), Double.parseDouble(matcher.group(2)));
        }
        return demand;
    }
}
