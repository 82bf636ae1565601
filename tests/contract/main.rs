//! Contract tests of the interfaces between processes, to endpoints and to the platform.

mod endpoint;
mod frames;
mod platform;
mod sessions;
