use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use runrail::message::Message;

/// A shared value whose hash is computed once.
///
/// Successive states share the values that didn't change, which saves memory.
#[derive(Clone, Debug)]
pub struct Hashed<T> {
    hash: u64,
    value: Arc<T>,
}

impl<T: Hash> Hashed<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self {
            hash: hasher.finish(),
            value: Arc::new(value),
        }
    }
}

impl<T> Hashed<T> {
    /// The hash, as a sort key.
    pub fn sort_key(&self) -> u64 {
        self.hash
    }
}

impl<T> std::ops::Deref for Hashed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl<T: PartialEq> PartialEq for Hashed<T> {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.value, &other.value)
            || (self.hash == other.hash && self.value == other.value)
    }
}

impl<T: Eq> Eq for Hashed<T> {}

/// A description for reports, which is ignored by `Eq` and `Hash`.
#[derive(Clone, Debug)]
pub struct Label(pub String);

impl Hash for Label {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

impl PartialEq for Label {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Label {}

/// Short description of a message; labels that hold whole messages would take too much
/// memory.
pub fn describe(message: &Message) -> String {
    match message {
        Message::Assign(record) => format!("Assign at epoch {}", record.epoch),
        Message::Release { epoch, .. } => format!("Release at epoch {epoch}"),
        Message::LeaseAsk(ask) => format!("LeaseAsk {} at epoch {}", ask.round, ask.epoch),
        Message::LeaseGrant { round, epoch, .. } => format!("LeaseGrant {round} at epoch {epoch}"),
        Message::LeaseDeny { epoch, .. } => format!("LeaseDeny at epoch {epoch}"),
        Message::LeaseReturn { epoch, .. } => format!("LeaseReturn at epoch {epoch}"),
        Message::Run(order) => format!("Run {:?}", order.run),
        Message::Query { run, bar, .. } => format!("Query {run:?}, bar {bar}"),
        Message::Recalled { run, recall } => format!("Recalled {run:?} {recall:?}"),
        Message::Piece { run, .. } => format!("Piece {run:?}"),
        Message::End { run, end } => format!("End {run:?} {end:?}"),
        Message::HeadAsk { number, .. } => format!("HeadAsk {number}"),
        Message::HeadReply(reply) => format!("HeadReply {}", reply.number),
        _ => "a message".into(),
    }
}
