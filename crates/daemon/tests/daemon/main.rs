//! Tests of the daemon without other processes.

mod frames;
mod settings;
