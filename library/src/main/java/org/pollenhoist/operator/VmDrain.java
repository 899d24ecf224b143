package org.pollenhoist.operator;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.pollenhoist.common.VmName;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.PlatformUnavailableException;
import org.pollenhoist.platform.WriteOutcome;

/** Asks a VM to stop in a planned way, by a record that it watches. */
public final class VmDrain {

    private static final byte[] CONTENT = "{\"drain\":true}".getBytes(StandardCharsets.UTF_8);

    /** What the keys of all VMs' records begin with. */
    public static final String PREFIX = "vms/";

    private static final String SUFFIX = "/drain";

    private VmDrain() {}

    /**
     * Returns the key of a VM's record.
     *
     * @param vm the VM
     * @return the key
     */
    public static String keyOf(VmName vm) {
        return PREFIX + vm + SUFFIX;
    }

    /**
     * Returns the VM whose record a key names.
     *
     * @param key a key below {@link #PREFIX}
     * @return the VM, or empty where the key is of another kind
     */
    public static Optional<VmName> vmOf(String key) {
        if (!key.startsWith(PREFIX) || !key.endsWith(SUFFIX)) {
            return Optional.empty();
        }
        return Optional.of(VmName.of(key.substring(PREFIX.length(), key.length() - SUFFIX.length())));
    }

    /**
     * Removes a VM's record, as that VM does when it begins to drain.
     *
     * @param platform the platform's service
     * @param vm the VM
     */
    public static void take(PlatformService platform, VmName vm) {
        platform.read(keyOf(vm)).ifPresent(record -> platform.remove(keyOf(vm), record.version()));
    }

    /**
     * Writes the record; writing it twice does no harm.
     *
     * @param platform the platform's service
     * @param vm the VM
     * @return false where the VM had been asked before
     * @throws PlatformUnavailableException where it is unknown whether the record was written
     */
    public static boolean request(PlatformService platform, VmName vm) {
        WriteOutcome outcome = platform.compareAndSwap(keyOf(vm), 0, CONTENT, Optional.empty());
        return switch (outcome) {
            case WriteOutcome.Written written -> true;
            case WriteOutcome.Conflict conflict -> false;
            case WriteOutcome.Unknown unknown -> confirmed(platform, vm, unknown);
        };
    }

    private static boolean confirmed(PlatformService platform, VmName vm, WriteOutcome.Unknown unknown) {
        if (platform.read(keyOf(vm)).isEmpty()) {
            throw PlatformUnavailableException.noAnswer("the write of '" + keyOf(vm) + "'", unknown.reason());
        }
        return true;
    }
}
