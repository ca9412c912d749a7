//! Tests of the whole system: real processes, talking over loopback.

mod path;
mod support;
