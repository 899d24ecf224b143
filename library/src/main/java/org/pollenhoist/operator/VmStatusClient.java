package org.pollenhoist.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.BlockingHttpClient;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.PlatformUnavailableException;

/** Asks entry VMs for their state by {@code GET /internal/status}. */
public final class VmStatusClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final BlockingHttpClient client;

    private VmStatusClient(BlockingHttpClient client) {
        this.client = client;
    }

    /**
     * An answer, or that there was none.
     *
     * @param vm the VM that was asked
     * @param status what it says, empty where it did not answer
     */
    public record Answer(ListedVm vm, Optional<VmStatus> status) {

        /**
         * Tells whether a revision is known to be in force there.
         *
         * @param revision the revision
         * @return true where this revision or a higher one is in force
         */
        public boolean hasInForce(long revision) {
            return status.filter(found -> found.revision() >= revision).isPresent();
        }
    }

    /**
     * Returns a client.
     *
     * @param timeout how long each VM may take
     * @return the client, to be closed by the caller
     */
    public static VmStatusClient withTimeout(Duration timeout) {
        return new VmStatusClient(BlockingHttpClient.withTimeout(timeout));
    }

    /**
     * Asks VMs, all at once.
     *
     * @param vms the VMs
     * @return the answers in the same order
     */
    public List<Answer> ask(List<ListedVm> vms) {
        try (ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Answer>> futures = new ArrayList<>();
            for (ListedVm vm : vms) {
                futures.add(workers.submit(() -> new Answer(vm, ask(vm))));
            }
            List<Answer> answers = new ArrayList<>();
            for (Future<Answer> future : futures) {
                answers.add(future.get());
            }
            return answers;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new PollenhoistException(ErrorCode.INTERNAL, "interrupted while VMs were asked", exception);
        } catch (ExecutionException exception) {
            throw new PollenhoistException(ErrorCode.INTERNAL, "a VM could not be asked", exception);
        }
    }

    private Optional<VmStatus> ask(ListedVm vm) {
        String host = vm.address().contains(":") ? "[" + vm.address() + "]" : vm.address();
        URI uri = URI.create("http://" + host + ":" + vm.port() + "/internal/status");
        try {
            BlockingHttpClient.Answer answer =
                    client.answer(new BlockingHttpClient.Call("GET", uri, Map.of(), null), Duration.ZERO);
            return answer.status() == OK ? parsed(answer.body()) : Optional.empty();
        } catch (PlatformUnavailableException exception) {
            return Optional.empty();
        }
    }

    private static Optional<VmStatus> parsed(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return Optional.of(new VmStatus(
                    node.path("vm").asText(),
                    node.path("revision").asLong(),
                    node.path("ready").asBoolean(),
                    node.path("draining").asBoolean()));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
