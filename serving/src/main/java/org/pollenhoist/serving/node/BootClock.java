package org.pollenhoist.serving.node;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import org.pollenhoist.common.MonotonicTime;

/**
 * The system's clock that counts time in suspension as well, which {@link System#nanoTime()} does not: a lease that was
 * held before a suspension must be seen to have ended after it. Not safe for use by several threads.
 */
public final class BootClock {

    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final MethodHandle clockGettime;
    private final MemorySegment timespec;

    /** Looks the clock up in the system's C library. */
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
     * @return the present time
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
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) could not be called", failure);
        }
        long seconds = timespec.getAtIndex(ValueLayout.JAVA_LONG, 0);
        long nanoseconds = timespec.getAtIndex(ValueLayout.JAVA_LONG, 1);
        return new MonotonicTime(seconds * NANOSECONDS_PER_SECOND + nanoseconds);
    }
}
