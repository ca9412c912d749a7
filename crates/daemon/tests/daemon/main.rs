//! Tests of the daemon without other processes.

mod bodies;
mod frames;
mod replays;
mod settings;
