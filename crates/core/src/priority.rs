//! How important requests are, and how urgent loads.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Importance of a request, most important first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody waits at a gate or on a show floor.
    Upper,
    /// The ordinary case.
    #[default]
    Normal,
    /// May wait, and is shed first.
    Lower,
}

impl Priority {
    /// All priorities, most important first.
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

/// How much a load is wanted; greater is more urgent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoadUrgency {
    /// Priority of the most important waiter, as `2 - rank`.
    pub importance: u8,
    /// Requests that wait.
    pub waiters: u32,
    /// Time that the first of them has waited.
    pub waited: Duration,
}
