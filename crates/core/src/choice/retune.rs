//! Replacement of a router's settings while it runs. No routing decision is made here.

use super::*;

impl Router {
    /// The classes of all versions of the settings, by number.
    #[must_use]
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// Replaces the settings. Their classes must be those given by [`crate::retune::merge_classes`], so that open
    /// requests keep their classes; they also keep the number of attempts that they had when they arrived. The
    /// state of members is kept, and so are the expected durations of primary changes.
    pub fn update_settings(&mut self, settings: Settings) {
        let new = settings.classes.iter().skip(self.latencies.len());
        self.latencies.extend(new.map(|class| LatencyEstimate::initial(class.aim)));
        self.class_worth.resize(settings.classes.len(), DecayingCounts::default());
        self.tenant_worth.resize(settings.tenants.len(), DecayingCounts::default());
        self.peers.set_enabled(settings.peers);
        self.settings = Settings { changes: self.settings.changes, ..settings };
    }
}
