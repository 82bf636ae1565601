/// Version of the protocol between processes; another one ends the session.
pub const PROTOCOL_VERSION: u32 = 1;
