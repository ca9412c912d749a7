//! Evidence that a target outlived an answer that ended with its connection.

use eyre::{Result, ensure};
use plantain_core::answer_end::{AddressReply, EndEvidence, WitnessState};
use plantain_net::end_witness::EndWitness;
use plantain_standin::silent_address::SilentAddress;
use std::time::{Duration, Instant};
use tokio::{net::TcpListener, time::sleep};

const PATIENCE: Duration = Duration::from_millis(50);
/// Longest time that the evidence may take.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// What happens at a target after it has accepted the witness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TargetChange {
    None,
    /// It closes its listener and keeps its connections.
    ClosesListener,
    Ends,
    /// It ends, and another listens at its address at once.
    IsReplaced,
    /// It ends, and its address does not answer.
    FallsSilent,
    /// It ends, and its address does not answer at first.
    IsReplacedLate,
}

struct ChangeCase {
    change: TargetChange,
    evidence: EndEvidence,
}

async fn examine(change: TargetChange) -> Result<EndEvidence> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let witness = EndWitness::new(address);
    let (accepted, _) = listener.accept().await?;
    sleep(Duration::from_millis(20)).await;
    let mut kept = Some(accepted);
    let mut listening = Some(listener);
    let mut silent = None;
    match change {
        TargetChange::None => {}
        TargetChange::ClosesListener => listening = None,
        TargetChange::Ends | TargetChange::IsReplaced => (kept, listening) = (None, None),
        TargetChange::FallsSilent | TargetChange::IsReplacedLate => {
            (kept, listening) = (None, None);
            silent = Some(SilentAddress::new(address)?);
        }
    }
    if change == TargetChange::IsReplaced {
        listening = Some(TcpListener::bind(address).await?);
    }
    let answering = async {
        sleep(Duration::from_millis(200)).await;
        match &mut silent {
            Some(silent) if change == TargetChange::IsReplacedLate => silent.answer(),
            _ => Ok(()),
        }
    };
    let began = Instant::now();
    let (evidence, answered) = tokio::join!(witness.examine(PATIENCE), answering);
    answered?;
    ensure!(began.elapsed() < EVIDENCE_TIME, "{change:?} took {:?}", began.elapsed());
    drop((kept, listening));
    Ok(evidence)
}

/// Guards against evidence that takes another process, or a host that is gone, for the target; and against a lost opening
/// packet that counts as a host that is gone.
#[tokio::test]
async fn the_evidence_tells_a_living_target_from_others() -> Result<()> {
    use AddressReply::{Accepted, Refused, Silent};
    use WitnessState::{Closed, Open};
    let evidence = |witness, reply| EndEvidence { witness, reply };
    let cases = [
        ChangeCase { change: TargetChange::None, evidence: evidence(Open, Accepted) },
        ChangeCase { change: TargetChange::ClosesListener, evidence: evidence(Open, Refused) },
        ChangeCase { change: TargetChange::Ends, evidence: evidence(Closed, Refused) },
        ChangeCase { change: TargetChange::IsReplaced, evidence: evidence(Closed, Accepted) },
        ChangeCase { change: TargetChange::FallsSilent, evidence: evidence(Closed, Silent) },
        ChangeCase { change: TargetChange::IsReplacedLate, evidence: evidence(Closed, Accepted) },
    ];
    for ChangeCase { change, evidence } in cases {
        let found = examine(change).await?;
        ensure!(found == evidence, "{change:?}: {found:?}");
    }
    Ok(())
}

/// Guards against a witness that was opened after the end of the answer and counts as evidence from before it.
#[tokio::test]
async fn a_late_witness_is_no_evidence() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let found = EndWitness::new(address).examine(PATIENCE).await;
    ensure!(
        found.witness == WitnessState::Late && found.reply == AddressReply::Accepted,
        "{found:?}"
    );
    Ok(())
}
