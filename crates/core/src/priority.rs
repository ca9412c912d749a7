//! Priority of requests and urgency of loads.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Priority of a request, highest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive: a person waits on site for the answer.
    Upper,
    /// The default.
    #[default]
    Normal,
    /// May wait; refused first when a queue is full.
    Lower,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Self; 3] = [Self::Upper, Self::Normal, Self::Lower];

    /// Position in [`Priority::ALL`]; also the number that engines sort by, smallest first.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Parses `upper`, `normal` or `lower`.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "upper" => Ok(Self::Upper),
            "normal" => Ok(Self::Normal),
            "lower" => Ok(Self::Lower),
            _ => Err(format!("priority `{text}` is not one of upper, normal, lower")),
        }
    }

    /// The name that [`Priority::parse`] reads.
    pub fn name(self) -> &'static str {
        match self {
            Self::Upper => "upper",
            Self::Normal => "normal",
            Self::Lower => "lower",
        }
    }
}

/// Urgency of a load, compared field by field; greater is more urgent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoadUrgency {
    /// Highest priority among the waiting requests, as `2 - rank`.
    pub importance: u8,
    /// Number of waiting requests.
    pub waiters: u32,
    /// Time that the first of them has waited.
    pub waited: Duration,
}
