use crate::logic::router::StoreEntry;

/// One page of keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The store's revision when the page was read.
    pub revision: i64,
    /// Whether more keys follow the last one.
    pub more: bool,
    /// Keys and values.
    pub entries: Vec<StoreEntry>,
    /// Why further ones can't be read.
    pub unread: Vec<String>,
}
