//! The problem documents of all refusals, and the outcomes derived from evidence.

use catkinusher_core::outcome::{AttemptHistory, Evidence, Outcome, Refusal};
use catkinusher_core::units::{Bytes, Span, Tokens};

fn all_refusals() -> Vec<Refusal> {
    let after = Span::from_millis(1_500);
    let service = || "taalhulp".parse().expect("a valid name");
    let detail = || "what was seen".to_owned();
    let outcome = Outcome::MayHaveRun;
    let limit = Bytes::new(65_536);
    vec![
        Refusal::BadHead { detail: detail() },
        Refusal::HeadTooLarge { limit },
        Refusal::TooSlow { limit: after },
        Refusal::BadBody { detail: detail() },
        Refusal::BodyTooLarge { limit },
        Refusal::PromptTooLong {
            needed: Tokens::new(1_000_000),
            limit: Tokens::new(500_000),
        },
        Refusal::BadTimeout { limit: after },
        Refusal::UnknownService {
            service: "nobody".to_owned(),
        },
        Refusal::UnknownModel {
            model: "nothing".to_owned(),
        },
        Refusal::UnknownRoute,
        Refusal::Unauthorised,
        Refusal::Forbidden { service: service() },
        Refusal::OverLimit { limit: 8, after },
        Refusal::QueueFull {
            service: service(),
            after,
        },
        Refusal::MemoryFull { after },
        Refusal::TooLate {
            predicted: Span::from_secs(9),
            left: Span::from_secs(3),
            after,
        },
        Refusal::NoUpstream {
            service: service(),
            after,
        },
        Refusal::ModelAway {
            model: "taalhulp-8b".parse().expect("a valid name"),
            after,
        },
        Refusal::UpstreamFailed {
            detail: detail(),
            outcome,
        },
        Refusal::AnswerBroken {
            detail: detail(),
            outcome: Outcome::Ran,
        },
        Refusal::DeadlinePassed {
            limit: after,
            outcome,
        },
        Refusal::StoreAway { after },
        Refusal::ClaimLapsed { after },
        Refusal::BadKey { limit: 255 },
        Refusal::KeyReused,
        Refusal::KeyBusy { after },
        Refusal::KeyUnsettled,
        Refusal::AnswerNotKept,
        Refusal::Quarantined {
            left: Span::from_secs(60),
        },
        Refusal::QuarantinedContent {
            left: Span::from_secs(60),
        },
        Refusal::ContentOnTrial { after },
        Refusal::ShuttingDown { after },
        Refusal::StopLimit { outcome },
        Refusal::Drained { service: service() },
        Refusal::NoConfiguration { after },
    ]
}

#[test]
fn every_refusal_has_its_document() {
    let request = "r-1".parse().expect("a valid name");
    let lines = all_refusals().into_iter().map(|refusal| {
        let problem = refusal.problem(Some(&request));
        let json = serde_json::to_string(&problem).expect("JSON");
        format!("{:?} {json}", refusal.category())
    });
    let lines: Vec<String> = lines.collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// The outcome for each sequence of observations. `not-run` requires proof for every attempt.
#[test]
fn a_trail_says_not_run_only_on_proof() {
    use Evidence::{Answered, Leaving, Refused, Unsent};
    let histories: [&[Evidence]; 9] = [
        &[],
        &[Leaving],
        &[Leaving, Unsent],
        &[Leaving, Refused],
        &[Leaving, Answered],
        &[Leaving, Answered, Refused],
        &[Leaving, Leaving, Refused],
        &[Leaving, Refused, Leaving, Refused],
        &[Leaving, Unsent, Leaving, Answered],
    ];
    let lines = histories.map(|evidence| {
        let mut history = AttemptHistory::new();
        for seen in evidence {
            history.on_evidence(*seen);
        }
        let sends = history.sends();
        format!("{evidence:?}: {}, {sends} sends", history.outcome())
    });
    insta::assert_snapshot!(lines.join("\n"));
}
