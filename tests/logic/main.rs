//! Tests of agents and of routers that work with agents, one file per feature.

mod budget;
mod fairness;
mod fixture;
mod intake;
mod pausing;
mod planning;
mod remembering;
mod submitting;
