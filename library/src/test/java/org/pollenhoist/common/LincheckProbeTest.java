package org.pollenhoist.common;

import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

public class LincheckProbeTest {
    private final AtomicInteger counter = new AtomicInteger();

    @Operation
    public int increment() {
        return counter.incrementAndGet();
    }

    @Test
    void should_be_linearizable() {
        new ModelCheckingOptions().iterations(5).check(LincheckProbeTest.class);
    }
}
