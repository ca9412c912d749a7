//! Retry budget: bounds retries to a fraction of the answered requests, so that they cannot overload
//! the targets.

/// Maximum number of unused retries that the budget keeps.
const RETRY_RESERVE: f64 = 20.0;

/// Allows retries as a fraction of recently answered requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Starts with a full reserve; `ratio` is the number of retries that each answered request earns.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, balance: RETRY_RESERVE }
    }

    /// Changes the ratio, as when another preset comes into force.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the retries earned by an answered request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.ratio).min(RETRY_RESERVE);
    }

    /// Takes one retry from the balance; false if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
