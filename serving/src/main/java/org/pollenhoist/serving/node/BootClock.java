package org.pollenhoist.serving.node;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import org.pollenhoist.common.MonotonicTime;

/**
 * Monotonic system clock that includes time spent in suspension, which {@link System#nanoTime()} does not: a lease held
 * before a suspension must be seen to have expired after it. Not thread-safe.
 */
public final class BootClock {

    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final MethodHandle clockGettime;
    private final MemorySegment timespec;

    /** Creates a clock, looking up {@code clock_gettime} in the system's C library. */
    @SuppressWarnings("restricted")
    public BootClock() {
        Linker linker = Linker.nativeLinker();
        clockGettime = linker.downcallHandle(
                linker.defaultLookup().find("clock_gettime").orElseThrow(),
                FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS));
        timespec = Arena.global().allocate(2 * ValueLayout.JAVA_LONG.byteSize(), ValueLayout.JAVA_LONG.byteAlignment());
    }

    /**
     * Reads the clock.
     *
     * @return the current time
     */
    public MonotonicTime read() {
        try {
            int result = (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
            if (result != 0) {
                throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) returned " + result);
            }
        } catch (RuntimeException | Error failure) {
            throw failure;
        } catch (Throwable failure) {
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) could not be invoked", failure);
        }
        long seconds = timespec.getAtIndex(ValueLayout.JAVA_LONG, 0);
        long nanoseconds = timespec.getAtIndex(ValueLayout.JAVA_LONG, 1);
        return new MonotonicTime(seconds * NANOSECONDS_PER_SECOND + nanoseconds);
    }
}
