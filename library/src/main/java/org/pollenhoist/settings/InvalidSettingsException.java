package org.pollenhoist.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** Settings or a configuration that were rejected, with all findings. */
public final class InvalidSettingsException extends PollenhoistException {

    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    private InvalidSettingsException(List<Finding> findings, String message) {
        super(ErrorCode.INVALID_CONFIGURATION, message);
        this.findings = findings;
    }

    static InvalidSettingsException withFindings(List<Finding> findings) {
        String message = findings.stream().map(Finding::message).collect(Collectors.joining("\n"));
        return new InvalidSettingsException(List.copyOf(findings), message);
    }

    /**
     * Returns what was found.
     *
     * @return the findings in the order of their places
     */
    public List<Finding> findings() {
        return findings;
    }
}
