//! Focused tests of the reducer, one file a feature.

mod fairness;
mod fixture;
mod pausing;
mod planning;
mod remembering;
