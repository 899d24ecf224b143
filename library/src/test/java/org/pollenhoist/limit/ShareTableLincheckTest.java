package org.pollenhoist.limit;

import java.util.List;
import java.util.Map;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;

/** Checks that concurrent callers and peers of one table see the outcomes of some sequence of calls. */
@Tag("lincheck")
public class ShareTableLincheckTest {

    private static final TeamName TEAM = TeamName.of("harbour-crews");
    private static final VmName PEER = VmName.of("piraeus-2");
    private static final MonotonicTime NOW = new MonotonicTime(10_000_000_000L);

    private final ShareTable table = ShareTable.empty(ShareSettings.defaults(), 1);
    private final Reservation running;

    public ShareTableLincheckTest() {
        MonotonicTime begin = new MonotonicTime(0);
        table.setLimits(Map.of(TEAM, new TeamLimit(1, 10)), begin);
        table.setHome(
                new HomeShare(List.of(new HomeShare.Piece(Parts.WHOLE, begin, new MonotonicTime(Long.MAX_VALUE)))),
                begin);
        running = ((Admission.Admitted) table.admit(TEAM, 3, NOW)).reservation();
    }

    @Operation
    public String admit() {
        return table.admit(TEAM, 4, NOW).getClass().getSimpleName();
    }

    @Operation
    public double settle() {
        return table.settle(running, 1, NOW);
    }

    @Operation
    public double lend() {
        ShareMessage.Request request = new ShareMessage.Request(TEAM, 2, 1, 0, 0, 2, true);
        ShareMessage answer = table.onMessage(PEER, 2, request, NOW).get(0).message();
        return ((ShareMessage.Loan) answer).tokens();
    }

    @Operation
    public double level() {
        return table.status(TEAM, NOW).orElseThrow().levelTokens();
    }

    @Test
    void should_be_linearizable_under_stress() {
        new StressOptions()
                .iterations(8)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(2)
                .sequentialSpecification(ShareTableLincheckTest.class)
                .check(ShareTableLincheckTest.class);
    }

    @Test
    void should_be_linearizable_in_model_checking() {
        new ModelCheckingOptions()
                .iterations(5)
                .invocationsPerIteration(200)
                .threads(2)
                .actorsPerThread(2)
                .check(ShareTableLincheckTest.class);
    }
}
