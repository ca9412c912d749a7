//! Policies that pick one of several candidate targets.

use crate::cost::{CostWeights, TargetEstimate, target_cost};

/// Targets whose costs are within this many milliseconds of the lowest count as equal, and one of them
/// is picked at random, so that entries with equal views do not all pick the same target.
const TIE_MARGIN_MS: f64 = 1.0;

/// A target that may take the request. Candidates come in rendezvous order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyCandidate {
    /// Index of the target in the entry's table.
    pub target: usize,
    /// The entry's estimate of the target.
    pub estimate: TargetEstimate,
}

/// A strategy that picks one of several candidates.
pub trait TargetPolicy {
    /// Position of the pick among `candidates`, which are not empty; `draw` is a random number.
    fn pick(&self, candidates: &[PolicyCandidate], weights: CostWeights, draw: u64) -> usize;

    /// Whether the candidates are the adapter's preferred targets only, not all targets of the kind.
    fn wants_preferred(&self) -> bool;
}

/// The policies that can be configured.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Any target, uniformly at random.
    Random,
    /// The target with the fewest requests.
    LeastOutstanding,
    /// The first choice by rendezvous hashing.
    Hash,
    /// The lowest expected wait among preferred targets.
    #[default]
    Cost,
}

impl RoutingPolicy {
    /// All policies, in the order of the error text of [`RoutingPolicy::parse`].
    pub const ALL: [Self; 4] = [Self::Random, Self::LeastOutstanding, Self::Hash, Self::Cost];

    /// Parses a policy's name.
    pub fn parse(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| {
            format!("policy `{text}` is not one of random, least-outstanding, hash, cost")
        })
    }

    /// The name that [`RoutingPolicy::parse`] reads.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastOutstanding => "least-outstanding",
            Self::Hash => "hash",
            Self::Cost => "cost",
        }
    }
}

impl TargetPolicy for RoutingPolicy {
    fn pick(&self, candidates: &[PolicyCandidate], weights: CostWeights, draw: u64) -> usize {
        match self {
            Self::Random => (draw % candidates.len() as u64) as usize,
            Self::Hash => 0,
            Self::LeastOutstanding => {
                pick_lowest(candidates, draw, 0.0, |c| f64::from(c.estimate.occupied))
            }
            Self::Cost => {
                pick_lowest(candidates, draw, TIE_MARGIN_MS, |c| target_cost(weights, &c.estimate))
            }
        }
    }

    fn wants_preferred(&self) -> bool {
        matches!(self, Self::Hash | Self::Cost)
    }
}

fn pick_lowest(
    candidates: &[PolicyCandidate],
    draw: u64,
    tie: f64,
    cost: impl Fn(&PolicyCandidate) -> f64,
) -> usize {
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let lowest = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let tied: Vec<usize> = (0..costs.len()).filter(|&index| costs[index] <= lowest + tie).collect();
    tied[(draw % tied.len() as u64) as usize]
}
