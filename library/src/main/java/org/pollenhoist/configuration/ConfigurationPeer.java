package org.pollenhoist.configuration;

import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;

/**
 * A VM of the fleet to which a connection is open.
 *
 * @param name its name
 * @param failureDomain where it stands
 */
public record ConfigurationPeer(VmName name, FailureDomain failureDomain) {}
