//! Focused tests of the reducer, one file a feature.

mod fixture;
mod pausing;
