//! Whether an answer that ended with its connection is whole.

use super::CallExchange;
use crate::router::constants;
use eyre::{Result, bail};
use metrics::counter;
use plantain_core::{answer_end::EndVerdict, direct::membership::TargetIncarnation};
use plantain_net::end_witness::EndWitness;
use std::time::Duration;

impl CallExchange {
    /// Fails unless something shows that a target outlived its answer, which ended with its connection. `patience` is the
    /// time in which what has accepted a connection for an ended target closes it.
    pub(crate) async fn confirm_end(
        &self,
        witness: EndWitness,
        incarnation: &TargetIncarnation,
        patience: Duration,
    ) -> Result<()> {
        counter!("plantain_end_checks_total").increment(1);
        let address = witness.address();
        let evidence = witness.examine(patience).await;
        let names_itself = self.head.model.is_some() && incarnation.started.is_some();
        let is_whole = match evidence.judge(names_itself) {
            EndVerdict::Whole => true,
            EndVerdict::Cut => false,
            EndVerdict::IfIdentified => {
                let connections = &self.context.connections;
                connections.is_identified(incarnation, address, constants::END_LIMIT).await
            }
        };
        if !is_whole {
            counter!("plantain_ends_mistaken_total").increment(1);
            bail!("nothing shows that {incarnation} outlived its answer: {evidence}");
        }
        Ok(())
    }
}
