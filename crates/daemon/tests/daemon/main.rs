//! Tests of the daemon without other processes.

mod bodies;
mod frames;
mod replays;
mod request_bodies;
mod settings;
