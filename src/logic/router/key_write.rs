/// One value to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease that the key is attached to; the key is deleted when the lease ends.
    pub lease: Option<i64>,
}
