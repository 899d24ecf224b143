package org.pollenhoist.placement;

import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;

/** The errors of this package, one factory each. */
final class PlacementErrors {

    private PlacementErrors() {}

    static PollenhoistException overcommitted(UpstreamName upstream, long committedBytes, long capacityBytes) {
        return new PollenhoistException(
                ErrorCode.INTERNAL,
                "ledger of '" + upstream + "' would commit " + committedBytes + " bytes, expected at most "
                        + capacityBytes);
    }

    static PollenhoistException unreadableRecord(String key, Exception cause) {
        return new PollenhoistException(
                ErrorCode.INTERNAL, "record '" + key + "' is not readable, expected the JSON of this version", cause);
    }
}
