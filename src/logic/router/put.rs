/// One value to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease that deletes the key when it ends.
    pub lease: Option<i64>,
}
