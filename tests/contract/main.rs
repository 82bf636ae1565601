//! Contracts of the interfaces between processes and towards the platform.

mod endpoint;
mod frames;
mod platform;
mod sessions;
