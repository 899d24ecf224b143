package org.pollenhoist.settings;

import java.nio.file.Path;

/**
 * The settings of a placement process.
 *
 * @param vm who it is
 * @param metrics where it serves metrics and health
 * @param peers where it meets its peers
 * @param platform where the platform is
 * @param spread how it learns of new configurations
 * @param log what it logs
 */
public record PlacementSettings(
        VmSettings vm,
        MetricsSettings metrics,
        PeerSettings peers,
        PlatformSettings platform,
        SpreadSettings spread,
        LogSettings log) {

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with all findings where the file is not whole and allowed
     */
    public static PlacementSettings load(Path path) {
        Findings findings = new Findings();
        TomlTable root = TomlTable.load(path, findings);
        findings.throwIfAny();
        PlacementSettings settings = new PlacementSettings(
                VmSettings.read(root.table("vm")),
                MetricsSettings.read(root.table("metrics")),
                PeerSettings.read(root.table("peers")),
                PlatformSettings.read(root.table("platform")),
                SpreadSettings.read(root.table("configuration")),
                LogSettings.read(root.table("log")));
        root.rejectUnknownKeys();
        findings.throwIfAny();
        return settings;
    }
}
