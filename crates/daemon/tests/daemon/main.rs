//! Tests of the daemon without other processes.

mod frames;
mod replays;
mod settings;
