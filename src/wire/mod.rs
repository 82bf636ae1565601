//! Sessions between the processes: WebSocket frames that carry CBOR.

mod challenge;
mod codec;
mod handshake;
mod hello;
mod identity;
mod net;
mod net_event;
mod protocol;
mod session;
mod welcome;

pub use challenge::Challenge;
pub use codec::{decode, encode, CodecError, MAX_FRAME_BYTES};
pub use hello::Hello;
pub use identity::Identity;
pub use net::{Net, NetSettings};
pub use net_event::NetEvent;
pub use protocol::PROTOCOL_VERSION;
pub use welcome::Welcome;
