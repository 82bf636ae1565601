//! Routers with direct links: decisions, adapter and links, without the bench.

mod adapter;
mod answers;
mod command_line;
mod demand;
mod digests;
mod duty;
mod fields;
mod figures;
mod fixture;
mod gate;
mod idle;
mod lag;
mod limits;
mod logs;
mod names;
mod needs;
mod placing;
mod queue;
mod repair;
mod routes;
mod settings;
mod soak;
mod splitting;
mod staging;
mod standin;
mod stopping;
