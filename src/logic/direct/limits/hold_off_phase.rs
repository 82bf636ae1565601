use crate::types::Millis;

/// A time for which an endpoint has asked this router to send nothing, and the time after it in
/// which requests come back step by step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HoldOffPhase {
    /// When it ends for requests.
    pub until: Millis,
    /// When it ends for probes and orders; 0 unless the endpoint has turned one of these away.
    pub calls_until: Millis,
    /// Whether its end for requests has passed and was logged.
    pub ended: bool,
    /// Most runs sent after its end that may not have begun yet. It doubles with each that begins.
    pub max_unbegun: u32,
    /// Runs sent after its end that haven't begun.
    pub unbegun: u32,
}

impl HoldOffPhase {
    /// Whether the endpoint takes requests of this router again by a time.
    pub fn is_over_by(&self, time: Millis) -> bool {
        self.until <= time
    }

    /// Whether the endpoint takes one more run of this router now.
    pub fn has_room(&self, now: Millis) -> bool {
        self.is_over_by(now) && self.unbegun < self.max_unbegun
    }
}
