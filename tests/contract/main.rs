//! Contracts of the interfaces between processes and towards the platform.

mod frames;
mod platform;
mod sessions;
