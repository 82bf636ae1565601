//! Sessions between the processes: WebSocket frames that carry CBOR.

mod codec;
mod frame;
mod handshake;
mod identity;
mod net;
mod net_event;
mod session;

pub use codec::{decode, encode, CodecError, FRAME_LIMIT};
pub use frame::{Challenge, Hello, Welcome, PROTOCOL_VERSION};
pub use identity::Identity;
pub use net::{Net, NetSettings};
pub use net_event::NetEvent;
