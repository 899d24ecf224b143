package org.pollenhoist.settings;

import java.util.Optional;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;

/**
 * Who a process is and where it stands.
 *
 * @param name the VM's name
 * @param failureDomain its failure domain
 */
public record VmSettings(VmName name, FailureDomain failureDomain) {

    static VmSettings read(TomlTable table) {
        Optional<VmName> name = table.name("name", VmName::of);
        Optional<FailureDomain> domain = table.name("failure_domain", FailureDomain::of);
        table.rejectUnknownKeys();
        return new VmSettings(name.orElse(null), domain.orElse(null));
    }
}
