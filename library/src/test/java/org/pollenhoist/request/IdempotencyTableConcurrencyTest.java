package org.pollenhoist.request;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.TreeMap;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;

/** Checks that the operations of the table are linearizable. */
@Tag("lincheck")
public class IdempotencyTableConcurrencyTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ZERO);
    private static final IdempotencyKey KEY = new IdempotencyKey(TeamName.of("charters"), "deposit-17");
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);

    private final IdempotencyTable table = new IdempotencyTable();

    @Operation
    public String begin() {
        return table.begin(KEY, REQUEST, START).getClass().getSimpleName();
    }

    @Operation
    public void finishFirst() {
        table.finish(new IdempotencyTicket(KEY, 0), new StoredResponse(200, new TreeMap<>(), ByteString.EMPTY), START);
    }

    @Operation
    public void failFirstAsNotRun() {
        table.fail(new IdempotencyTicket(KEY, 0), true, START);
    }

    @Test
    void should_be_linearizable_under_stress() {
        new StressOptions().iterations(10).invocationsPerIteration(200).check(getClass());
    }

    @Test
    void should_be_linearizable_in_explored_schedules() {
        new ModelCheckingOptions().iterations(5).invocationsPerIteration(100).check(getClass());
    }
}
