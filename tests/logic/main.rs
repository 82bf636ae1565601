//! Focused tests of the reducer, one file a feature.

mod budget;
mod fairness;
mod fixture;
mod pausing;
mod planning;
mod remembering;
