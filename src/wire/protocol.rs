/// Version of the protocol between processes; a peer with another version is refused.
pub const PROTOCOL_VERSION: u32 = 1;
