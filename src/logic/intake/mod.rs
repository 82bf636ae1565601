//! What a process takes in from its clients: how many connections, how many bytes of requests that aren't
//! answered, and which connection gives way when there is no more room.

mod admission;
mod intake_limits;
mod intake_state;
mod room;

pub use admission::Admission;
pub use intake_limits::IntakeLimits;
pub use intake_state::IntakeState;
pub use room::Room;
