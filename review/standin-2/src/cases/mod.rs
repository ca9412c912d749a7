//! The cases.

pub mod adapters;
pub mod crlf;
pub mod gone;
pub mod slow_reader;
pub mod stop;
pub mod uploads;
