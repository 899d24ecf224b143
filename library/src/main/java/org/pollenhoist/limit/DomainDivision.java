package org.pollenhoist.limit;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;

/**
 * The division of every team's limit between the failure domains. It is written once, by the first process of the
 * fleet, and never changes by itself: processes that know different configurations must not divide differently.
 */
public final class DomainDivision {

    private static final String KEY = "limits/domains";
    private static final ObjectMapper JSON = new ObjectMapper();

    private DomainDivision() {}

    /**
     * Reads a failure domain's part, and writes the division first where there is none.
     *
     * @param platform the platform's service
     * @param own the failure domain
     * @param known the failure domains that the configuration names, for an equal division
     * @return the parts of {@link Parts#WHOLE}, 0 for a failure domain that came later
     * @throws PollenhoistException with {@link ErrorCode#PLATFORM_UNAVAILABLE} where no answer came
     */
    public static long partsOf(PlatformService platform, FailureDomain own, Collection<FailureDomain> known) {
        Optional<StoredValue> stored = platform.read(KEY);
        if (stored.isEmpty()) {
            platform.compareAndSwap(KEY, 0, format(equal(known)), Optional.empty());
            stored = platform.read(KEY);
        }
        return stored.map(value -> parse(value.content()).getOrDefault(own.value(), 0L))
                .orElse(0L);
    }

    private static SortedMap<String, Long> equal(Collection<FailureDomain> known) {
        SortedMap<String, Long> parts = new TreeMap<>();
        known.forEach(domain -> parts.put(domain.value(), Parts.WHOLE / known.size()));
        return parts;
    }

    private static SortedMap<String, Long> parse(byte[] content) {
        try {
            return JSON.readValue(content, new TypeReference<TreeMap<String, Long>>() {});
        } catch (IOException unreadable) {
            throw new PollenhoistException(
                    ErrorCode.INTERNAL, "The division of limits between failure domains can't be read", unreadable);
        }
    }

    private static byte[] format(SortedMap<String, Long> parts) {
        try {
            return JSON.writeValueAsBytes(parts);
        } catch (IOException unwritable) {
            throw new PollenhoistException(
                    ErrorCode.INTERNAL, "The division of limits between failure domains can't be written", unwritable);
        }
    }
}
