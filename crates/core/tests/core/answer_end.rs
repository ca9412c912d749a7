//! Answers that end with their connections.

use plantain_core::answer_end::{
    AddressReply::{self, Accepted, Refused, Silent},
    EndEvidence,
    EndVerdict::{self, Cut, IfIdentified, Whole},
    WitnessState::{self, Closed, Late, Open},
};

struct VerdictCase {
    witness: WitnessState,
    reply: AddressReply,
    /// Of a target that does not name its incarnation.
    unnamed: EndVerdict,
    /// Of one that does.
    named: EndVerdict,
}

/// Guards against an answer that passes for whole although nothing from after its end shows that its target lives.
#[test]
fn an_answer_is_whole_only_if_its_target_outlived_it() {
    let case = |witness, reply, unnamed, named| VerdictCase { witness, reply, unnamed, named };
    let cases = [
        case(Open, Accepted, Whole, Whole),
        case(Open, Refused, Whole, Whole),
        case(Open, Silent, Cut, Cut),
        case(Late, Accepted, Whole, IfIdentified),
        case(Late, Refused, Cut, Cut),
        case(Late, Silent, Cut, Cut),
        case(Closed, Accepted, Cut, IfIdentified),
        case(Closed, Refused, Cut, Cut),
        case(Closed, Silent, Cut, Cut),
    ];
    for VerdictCase { witness, reply, unnamed, named } in cases {
        let evidence = EndEvidence { witness, reply };
        assert_eq!(evidence.judge(false), unnamed, "{evidence}");
        assert_eq!(evidence.judge(true), named, "{evidence}");
    }
}
