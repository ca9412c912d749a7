//! Tests of the daemon by itself.

mod frames;
mod settings;
