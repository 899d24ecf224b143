package org.pollenhoist.entry;

import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.VmName;
import org.pollenhoist.routing.LeavingLists;
import org.pollenhoist.settings.VmSettings;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerMesh;

/**
 * Tells whether this VM is one of the few of its failure domain that read the platform for all.
 *
 * @param self this VM
 * @param mesh knows which others are up
 */
record DomainReaders(VmSettings self, PeerMesh mesh) {

    boolean isOneOfThem() {
        Set<VmName> vms = mesh.peers().stream()
                .filter(peer -> peer.failureDomain().equals(self.failureDomain()))
                .map(Peer::vm)
                .collect(Collectors.toSet());
        vms.add(self.name());
        return LeavingLists.isReader(self.name(), vms);
    }
}
