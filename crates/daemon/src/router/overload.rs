//! Samples the lag of the serving thread, and turns new connections away under overload.

use super::context::RouterContext;
use crate::clock;
use metrics::{counter, gauge};
use plantain_core::direct::overload::SAMPLE_PAUSE;
use slog::{info, warn};
use std::rc::Rc;
use tokio::time::sleep;

impl RouterContext {
    /// Whether to read from a new connection. Its caller tries another router at once if it is closed unread.
    pub(super) fn takes_connection(&self) -> bool {
        let is_taken = self.gate.borrow_mut().takes_connection(self.router_count(), clock::now());
        if !is_taken {
            counter!("plantain_connections_refused_total").increment(1);
        }
        is_taken
    }

    /// Whether callers with open connections should leave, because the thread is overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.gate.borrow().is_overloaded()
    }
}

/// Samples the lag until the process ends.
pub(super) async fn watch_lag(context: Rc<RouterContext>) {
    let mut was_overloaded = false;
    loop {
        let began = clock::now();
        sleep(SAMPLE_PAUSE).await;
        let now = clock::now();
        let lag = now.saturating_sub(began).saturating_sub(SAMPLE_PAUSE);
        context.gate.borrow_mut().record_lag(lag, now);
        let is_overloaded = context.is_overloaded();
        if is_overloaded || was_overloaded {
            gauge!("plantain_thread_lag_seconds").set(lag.as_secs_f64());
        }
        if is_overloaded && !was_overloaded {
            warn!(context.logger, "thread overloaded"; "step" => "overload",
                "lag_ms" => lag.as_millis() as u64, "calls" => context.calls.get());
        } else if was_overloaded && !is_overloaded {
            info!(context.logger, "thread no longer overloaded"; "step" => "overload",
                "calls" => context.calls.get());
        }
        was_overloaded = is_overloaded;
    }
}
