//! Reports what connections hold, and bodies that a configuration allows and the host has no memory for.

use slog::warn;

use crate::gate::Gateway;

impl Gateway {
    /// Sets the gauges of all listeners, and logs what they refused.
    pub(crate) fn report_intake(&self) {
        for intake in [&self.intake, &self.probes, &self.hosts, &self.responses] {
            intake.report();
        }
        let Some((version, limits)) = self.limits_in_force() else {
            return;
        };
        if self.checked_version.replace(Some(version)) == Some(version) {
            return;
        }
        let most = self.intake.max_body_bytes();
        if limits > most {
            warn!(self.logger, "bodies that are allowed don't fit"; "version" => version, "allowed_bytes" => limits,
                "most_bytes" => most);
        }
    }

    /// Returns the version of the catalog in force, and the length of the longest body that it allows.
    fn limits_in_force(&self) -> Option<(u64, usize)> {
        let table = self.shared.table.load();
        let table = table.as_ref()?;
        Some((table.version(), table.limits().body_bytes))
    }
}
