//! Whether an answer that ended with its connection is whole: the end of its target's process, or of its host, ends the
//! connection in the same way.

use std::fmt::{self, Display, Formatter};

/// State, after the end of the answer, of another connection to the target that was opened while the answer arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WitnessState {
    /// Open, and it was before the end: the target's process lives.
    Open,
    /// Not opened before the end, and not closed since.
    Late,
    /// Closed by the target.
    Closed,
}

/// How the target's address answers a connection that is opened after the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressReply {
    /// It accepts the connection and keeps it open.
    Accepted,
    /// It refuses the connection, or closes it at once.
    Refused,
    /// No answer, or the host cannot be reached.
    Silent,
}

/// What is known of a target after an answer ended with its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndEvidence {
    /// The other connection.
    pub witness: WitnessState,
    /// The new connection.
    pub reply: AddressReply,
}

/// Whether the answer is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// The target outlived its answer.
    Whole,
    /// Nothing shows that it did.
    Cut,
    /// Whole if what listens at the address names the target's incarnation.
    IfIdentified,
}

impl EndEvidence {
    /// Judges an answer; `names_itself` tells whether the target names its incarnation when asked.
    pub fn judge(self, names_itself: bool) -> EndVerdict {
        match (self.witness, self.reply) {
            (WitnessState::Late | WitnessState::Closed, AddressReply::Accepted) if names_itself => {
                EndVerdict::IfIdentified
            }
            // A target that is leaving may have closed its listener already.
            (WitnessState::Open, AddressReply::Accepted | AddressReply::Refused)
            | (WitnessState::Late, AddressReply::Accepted) => EndVerdict::Whole,
            // Whether another process listens now, or the same one closed an idle connection, does not show.
            (_, AddressReply::Silent)
            | (WitnessState::Late, AddressReply::Refused)
            | (WitnessState::Closed, _) => EndVerdict::Cut,
        }
    }
}

impl Display for EndEvidence {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let witness = match self.witness {
            WitnessState::Open => "another connection is open",
            WitnessState::Late => "no other connection was open",
            WitnessState::Closed => "another connection was closed",
        };
        let reply = match self.reply {
            AddressReply::Accepted => "the address accepts connections",
            AddressReply::Refused => "the address refuses connections",
            AddressReply::Silent => "the address does not answer",
        };
        write!(formatter, "{witness}, {reply}")
    }
}
