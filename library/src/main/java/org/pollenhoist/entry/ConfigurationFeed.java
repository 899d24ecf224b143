package org.pollenhoist.entry;

import java.time.Duration;
import java.util.List;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.ConfigurationPeer;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.platform.ConfigurationWatcher;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.settings.EntrySettings;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerListener;
import org.pollenhoist.vm.PeerMesh;
import org.pollenhoist.vm.generated.Frame;

/** Joins the mesh and the platform's service to what keeps the configuration fresh. */
final class ConfigurationFeed implements PeerListener, AutoCloseable {

    private static final Duration NEVER = Duration.ofDays(365);

    private final PeerMesh mesh;

    private final ConfigurationWatcher watcher;

    private ConfigurationFeed(PeerMesh mesh, ConfigurationWatcher watcher) {
        this.mesh = mesh;
        this.watcher = watcher;
    }

    static ConfigurationFeed start(
            EntrySettings settings, ConfigurationTable table, PlatformService platform, PeerMesh mesh) {
        ConfigurationPeer self =
                new ConfigurationPeer(settings.vm().name(), settings.vm().failureDomain());
        ConfigurationWatcher watcher =
                ConfigurationWatcher.start(self, settings.spread().watchersPerDomain(), table, platform, mesh::send);
        ConfigurationFeed feed = new ConfigurationFeed(mesh, watcher);
        mesh.addListener(feed);
        feed.peersChanged();
        return feed;
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        watcher.onFrame(sender.vm(), frame);
    }

    @Override
    public void onConnected(Peer peer, MonotonicTime now) {
        peersChanged();
    }

    @Override
    public void onDisconnected(Peer peer, MonotonicTime now) {
        peersChanged();
    }

    private void peersChanged() {
        List<ConfigurationPeer> connected = mesh.peers().stream()
                .map(peer -> new ConfigurationPeer(peer.vm(), peer.failureDomain()))
                .toList();
        watcher.peersChanged(connected);
    }

    boolean isReady() {
        return watcher.isReady();
    }

    Duration sinceContact(MonotonicTime now) {
        return watcher.platformAge(now).orElse(NEVER);
    }

    @Override
    public void close() {
        watcher.close();
    }
}
