//! Retry budget: retries may never become the load.

/// Retries that may be saved up while all goes well.
const RETRY_RESERVE: f64 = 20.0;

/// Allows retries as a fraction of recent first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Starts with a full reserve; `ratio` is the retries earned by each first attempt.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, balance: RETRY_RESERVE }
    }

    /// Changes the ratio, as a preset switch does.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Earns a share of a retry from a request that was answered.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.ratio).min(RETRY_RESERVE);
    }

    /// Spends one retry, or says that none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
