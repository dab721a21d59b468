//! The one step in which a router's settings change. It decides nothing.

use super::*;

impl Router {
    /// The classes that it knows, of all versions, by number.
    #[must_use]
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// Goes by these settings from now on; their classes are those of [`crate::retune::merge`]. Open requests
    /// keep their classes and the attempts that they might have. What is known of members stays.
    pub fn update_settings(&mut self, settings: Settings) {
        let new = settings.classes.iter().skip(self.latencies.len());
        self.latencies.extend(new.map(|class| LatencyEstimate::initial(class.aim)));
        self.class_worth.resize(settings.classes.len(), DecayingCounts::default());
        self.tenant_worth.resize(settings.tenants.len(), DecayingCounts::default());
        self.peers.set_enabled(settings.peers);
        self.settings = Settings { changes: self.settings.changes, ..settings };
    }
}
